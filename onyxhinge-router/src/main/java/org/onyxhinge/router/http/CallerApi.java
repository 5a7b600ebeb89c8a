package org.onyxhinge.router.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.model.RequestSpec;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.ServiceKind;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.schedule.Refusal;
import org.onyxhinge.core.schedule.RefusalReason;
import org.onyxhinge.core.text.Tokens;
import org.onyxhinge.router.RequestIds;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.router.dispatch.Answers;
import org.onyxhinge.router.dispatch.ControlPlane;
import org.onyxhinge.router.dispatch.Dispatcher;
import org.onyxhinge.router.dispatch.Flight;

/**
 * The callers' HTTP routes on one traffic context. Each request is read, checked against the
 * configuration in force, and handed to the control thread as a {@link Flight}; anything that fails
 * a check is refused at once with a clear reason, and nothing about it is kept.
 */
public final class CallerApi {

    private static final int NS_PER_MS = 1_000_000;

    private final Context traffic;
    private final Dispatcher dispatcher;
    private final ControlPlane control;
    private final RouterMetrics metrics;
    private final Supplier<ClusterConfig> config;
    private final BooleanSupplier draining;
    private final RequestIds ids;

    private CallerApi(
            Context traffic,
            Dispatcher dispatcher,
            ControlPlane control,
            RouterMetrics metrics,
            Supplier<ClusterConfig> config,
            BooleanSupplier draining,
            RequestIds ids) {
        this.traffic = traffic;
        this.dispatcher = dispatcher;
        this.control = control;
        this.metrics = metrics;
        this.config = config;
        this.draining = draining;
        this.ids = ids;
    }

    /**
     * What the callers' routes need from the router.
     *
     * @param control the control thread
     * @param metrics the router's measures
     * @param config the configuration in force
     * @param draining true once a planned stop has begun
     * @param ids request ids
     */
    public record Parts(
            ControlPlane control,
            RouterMetrics metrics,
            Supplier<ClusterConfig> config,
            BooleanSupplier draining,
            RequestIds ids) {}

    /** Adds the callers' routes to {@code router}, for one traffic context. */
    public static void mount(Router router, int maxBodyBytes, Context traffic, Dispatcher dispatcher, Parts parts) {
        CallerApi api = new CallerApi(
                traffic, dispatcher, parts.control(), parts.metrics(), parts.config(), parts.draining(), parts.ids());
        router.post().handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
        router.post("/v1/chat/completions")
                .handler(ctx -> api.take(
                        ctx,
                        RequestReader.chat(ctx.request().headers(), ctx.body().asString())));
        router.post("/v1/calls/:service")
                .handler(ctx -> api.take(
                        ctx,
                        RequestReader.plain(
                                ctx.request().headers(),
                                ctx.pathParam("service"),
                                ctx.body().asString())));
    }

    private void take(RoutingContext ctx, Either<Refusal, CallerRequest> read) {
        long arrivedNs = System.nanoTime();
        metrics.received();
        String requestId = ids.next();
        Either<Refusal, RequestSpec> checked = draining.getAsBoolean()
                ? Either.left(Refusal.of(RefusalReason.DRAINING, "router is stopping; try another", 1_000))
                : read.flatMap(r -> check(requestId, r, arrivedNs / NS_PER_MS));
        if (checked.isLeft()) {
            metrics.refused(checked.getLeft().reason());
            Answers.refuse(ctx.response(), requestId, checked.getLeft());
            return;
        }
        Flight f = Flight.create(dispatcher, checked.get(), read.get(), ctx.request(), traffic, arrivedNs);
        ctx.response().closeHandler(v -> dispatcher.abandoned(f));
        control.submit(f);
    }

    private Either<Refusal, RequestSpec> check(String requestId, CallerRequest r, long nowMs) {
        ClusterConfig c = config.get();
        if (c.workspace(r.workspace()).isEmpty()) {
            return notFound(RefusalReason.UNKNOWN_WORKSPACE, "workspace '" + r.workspace() + "' is not configured");
        }
        Tier tier = c.tier(r.tier()).orElse(null);
        if (tier == null) {
            return notFound(RefusalReason.UNKNOWN_TIER, "tier '" + r.tier() + "' is not configured");
        }
        Service service = c.service(r.service()).orElse(null);
        if (service == null || (service.kind() == ServiceKind.PLAIN) != r.plain()) {
            return notFound(
                    RefusalReason.UNKNOWN_SERVICE, "service '" + r.service() + "' is not configured for this path");
        }
        if (service.nonIdempotent() && r.idempotencyKey().isEmpty()) {
            return notFound(
                    RefusalReason.BAD_REQUEST,
                    "service '" + r.service() + "' is non-idempotent: send an Idempotency-Key");
        }
        return Either.right(spec(requestId, r, tier, service, nowMs));
    }

    private static RequestSpec spec(String requestId, CallerRequest r, Tier tier, Service service, long nowMs) {
        JsonArray messages = r.messages();
        int promptTokens = r.plain() ? Tokens.count(r.body().encode()) : 0;
        String system = "";
        for (int i = 0; i < messages.size(); i++) {
            JsonObject m = messages.getJsonObject(i);
            promptTokens += Tokens.count(m.getString("content"));
            if (i == 0 && "system".equals(m.getString("role"))) {
                system = m.getString("content");
            }
        }
        return new RequestSpec(
                requestId,
                r.workspace(),
                tier,
                r.service(),
                service.pool(),
                Math.max(1, promptTokens),
                r.maxTokens(),
                Tokens.prefixHash(system),
                Tokens.count(system),
                r.idempotencyKey(),
                service.nonIdempotent(),
                nowMs);
    }

    private static <T> Either<Refusal, T> notFound(RefusalReason reason, String detail) {
        return Either.left(Refusal.of(reason, detail, 0));
    }
}
