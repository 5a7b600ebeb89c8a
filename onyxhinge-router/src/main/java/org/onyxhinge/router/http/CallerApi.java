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
import org.onyxhinge.router.RequestIdGenerator;
import org.onyxhinge.router.RouterMetrics;
import org.onyxhinge.router.dispatch.CallerResponses;
import org.onyxhinge.router.dispatch.Dispatcher;
import org.onyxhinge.router.dispatch.InFlightRequest;

/**
 * The HTTP routes for callers on one traffic context. Each request is parsed, validated against the
 * configuration in force, and submitted to the control thread as an {@link InFlightRequest}. A request
 * that fails validation is refused immediately with a specific reason, and no state is kept for it.
 */
public final class CallerApi {

    private static final int NS_PER_MS = 1_000_000;

    private final Context trafficContext;
    private final Dispatcher dispatcher;
    private final RouterMetrics metrics;
    private final Supplier<ClusterConfig> config;
    private final BooleanSupplier draining;
    private final RequestIdGenerator requestIds;

    private CallerApi(
            Context trafficContext,
            Dispatcher dispatcher,
            RouterMetrics metrics,
            Supplier<ClusterConfig> config,
            BooleanSupplier draining,
            RequestIdGenerator requestIds) {
        this.trafficContext = trafficContext;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.config = config;
        this.draining = draining;
        this.requestIds = requestIds;
    }

    /**
     * The parts of the router that the routes depend on.
     *
     * @param metrics metrics of the router
     * @param config supplier of the configuration in force
     * @param draining true once a planned stop has begun
     * @param requestIds generator of request ids
     */
    public record Dependencies(
            RouterMetrics metrics,
            Supplier<ClusterConfig> config,
            BooleanSupplier draining,
            RequestIdGenerator requestIds) {}

    /** Adds the routes for callers to {@code router}, for one traffic context. */
    public static void mount(
            Router router, int maxBodyBytes, Context trafficContext, Dispatcher dispatcher, Dependencies dependencies) {
        CallerApi api = new CallerApi(
                trafficContext,
                dispatcher,
                dependencies.metrics(),
                dependencies.config(),
                dependencies.draining(),
                dependencies.requestIds());
        router.post().handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
        router.post("/v1/chat/completions")
                .handler(ctx -> api.handle(
                        ctx,
                        RequestReader.chat(ctx.request().headers(), ctx.body().asString())));
        router.post("/v1/calls/:service")
                .handler(ctx -> api.handle(
                        ctx,
                        RequestReader.plain(
                                ctx.request().headers(),
                                ctx.pathParam("service"),
                                ctx.body().asString())));
    }

    private void handle(RoutingContext ctx, Either<Refusal, CallerRequest> parsed) {
        long arrivedNs = System.nanoTime();
        metrics.received();
        String requestId = requestIds.next();
        Either<Refusal, RequestSpec> validated = draining.getAsBoolean()
                ? Either.left(Refusal.of(RefusalReason.DRAINING, "router is stopping; try another", 1_000))
                : parsed.flatMap(r -> validate(requestId, r, arrivedNs / NS_PER_MS));
        if (validated.isLeft()) {
            metrics.refused(validated.getLeft().reason());
            CallerResponses.refuse(ctx.response(), requestId, validated.getLeft());
            return;
        }
        InFlightRequest f = InFlightRequest.create(
                dispatcher, validated.get(), parsed.get(), ctx.request(), trafficContext, arrivedNs);
        ctx.response().closeHandler(v -> dispatcher.callerDisconnected(f));
        dispatcher.submit(f);
    }

    private Either<Refusal, RequestSpec> validate(String requestId, CallerRequest r, long nowMs) {
        ClusterConfig c = config.get();
        if (c.workspace(r.workspace()).isEmpty()) {
            return refuse(RefusalReason.UNKNOWN_WORKSPACE, "workspace '" + r.workspace() + "' is not configured");
        }
        Tier tier = c.tier(r.tier()).orElse(null);
        if (tier == null) {
            return refuse(RefusalReason.UNKNOWN_TIER, "tier '" + r.tier() + "' is not configured");
        }
        Service service = c.service(r.service()).orElse(null);
        if (service == null || (service.kind() == ServiceKind.PLAIN) != r.plain()) {
            return refuse(
                    RefusalReason.UNKNOWN_SERVICE, "service '" + r.service() + "' is not configured for this path");
        }
        if (service.nonIdempotent() && r.idempotencyKey().isEmpty()) {
            return refuse(
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

    private static <T> Either<Refusal, T> refuse(RefusalReason reason, String detail) {
        return Either.left(Refusal.of(reason, detail, 0));
    }
}
