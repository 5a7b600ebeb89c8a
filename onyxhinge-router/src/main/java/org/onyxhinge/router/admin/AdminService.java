package org.onyxhinge.router.admin;

import java.util.function.Function;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerRequest;
import org.jboss.logging.Logger;
import org.onyxhinge.api.AdminMethods;
import org.onyxhinge.api.v1.ConfigReply;
import org.onyxhinge.api.v1.OrderPoolReply;
import org.onyxhinge.api.v1.OrderPoolRequest;
import org.onyxhinge.api.v1.PutReply;
import org.onyxhinge.api.v1.TargetOrderResult;
import org.onyxhinge.api.v1.Versioned;
import org.onyxhinge.core.model.ClusterConfig;
import org.onyxhinge.core.order.OrderKind;
import org.onyxhinge.router.config.ConfigException;
import org.onyxhinge.router.config.ConfigKind;
import org.onyxhinge.router.config.ConfigStore;
import org.onyxhinge.router.config.PutOutcome;
import org.onyxhinge.router.order.OrderException;
import org.onyxhinge.router.order.OrderOutcome;
import org.onyxhinge.router.order.OrderService;

/**
 * Implementation of {@code onyxhinge.admin.v1.Admin}. Each put is validated, then written by
 * compare-and-swap through the {@link ConfigStore}. The status is {@code INVALID_ARGUMENT} for an invalid
 * object, {@code ABORTED} for a version conflict, with a message that gives the version in force, and
 * {@code UNAVAILABLE} if the store is unavailable. With the first two, nothing has been written.
 */
public final class AdminService {

    private static final Logger LOG = Logger.getLogger(AdminService.class);

    private final ConfigStore store;
    private final OrderService orders;
    private final Context controlContext;

    private AdminService(ConfigStore store, OrderService orders, Context controlContext) {
        this.store = store;
        this.orders = orders;
        this.controlContext = controlContext;
    }

    /** Registers the service's methods on a Vert.x gRPC server. */
    public static void mount(GrpcServer server, ConfigStore store, OrderService orders, Context controlContext) {
        AdminService s = new AdminService(store, orders, controlContext);
        server.callHandler(
                AdminMethods.PUT_TIER,
                req -> s.put(
                        req,
                        r -> new ConfigWrite(
                                ConfigKind.TIER,
                                r.getTier().getName(),
                                () -> ProtoMapping.tier(r.getTier()),
                                r.getExpectedVersion(),
                                r.getOperationId())));
        server.callHandler(
                AdminMethods.PUT_WORKSPACE,
                req -> s.put(
                        req,
                        r -> new ConfigWrite(
                                ConfigKind.WORKSPACE,
                                r.getWorkspace().getName(),
                                () -> ProtoMapping.workspace(r.getWorkspace()),
                                r.getExpectedVersion(),
                                r.getOperationId())));
        server.callHandler(
                AdminMethods.PUT_SERVICE,
                req -> s.put(
                        req,
                        r -> new ConfigWrite(
                                ConfigKind.SERVICE,
                                r.getService().getName(),
                                () -> ProtoMapping.service(r.getService()),
                                r.getExpectedVersion(),
                                r.getOperationId())));
        server.callHandler(
                AdminMethods.PUT_POOL,
                req -> s.put(
                        req,
                        r -> new ConfigWrite(
                                ConfigKind.POOL,
                                r.getPool().getName(),
                                () -> ProtoMapping.pool(r.getPool()),
                                r.getExpectedVersion(),
                                r.getOperationId())));
        server.callHandler(AdminMethods.GET_CONFIG, req -> req.handler(msg -> s.getConfig(req)));
        server.callHandler(AdminMethods.ORDER_POOL, req -> req.handler(msg -> s.order(req, msg)));
    }

    private record ConfigWrite(
            ConfigKind kind, String name, Supplier<Record> value, long expectedVersion, String operationId) {}

    private <T> void put(GrpcServerRequest<T, PutReply> req, Function<T, ConfigWrite> toWrite) {
        req.handler(msg -> {
            ConfigWrite w = toWrite.apply(msg);
            Record value;
            try {
                value = w.value().get();
            } catch (IllegalArgumentException e) {
                req.response()
                        .status(GrpcStatus.INVALID_ARGUMENT)
                        .statusMessage(e.getMessage())
                        .end();
                return;
            }
            String operationId =
                    w.operationId().isEmpty() ? java.util.UUID.randomUUID().toString() : w.operationId();
            onControlContext(() -> store.put(w.kind(), w.name(), value, w.expectedVersion(), operationId))
                    .onSuccess(out -> req.response().end(putReply(out)))
                    .onFailure(e -> respondFailure(req, w, e));
        });
    }

    private void order(GrpcServerRequest<OrderPoolRequest, OrderPoolReply> req, OrderPoolRequest msg) {
        if (msg.getPool().isBlank()
                || msg.getArgument().isBlank()
                || msg.getKind().getNumber() < 1) {
            req.response()
                    .status(GrpcStatus.INVALID_ARGUMENT)
                    .statusMessage("an order needs a pool, a kind and an argument")
                    .end();
            return;
        }
        OrderKind kind = OrderKind.valueOf(msg.getKind().name());
        onControlContext(() -> orders.order(msg.getPool(), kind, msg.getArgument()))
                .onSuccess(out -> req.response().end(orderReply(out)))
                .onFailure(e -> req.response()
                        .status(
                                e instanceof OrderException o && o.isConflict()
                                        ? GrpcStatus.ABORTED
                                        : GrpcStatus.UNAVAILABLE)
                        .statusMessage(e.getMessage())
                        .end());
    }

    private static OrderPoolReply orderReply(OrderOutcome out) {
        OrderPoolReply.Builder b = OrderPoolReply.newBuilder().setFencingToken(out.fencingToken());
        out.targets()
                .forEach(t -> b.addResults(TargetOrderResult.newBuilder()
                        .setTargetId(t.targetId())
                        .setStatus(t.status().name())
                        .setDetail(t.detail())));
        return b.build();
    }

    private static PutReply putReply(PutOutcome out) {
        return PutReply.newBuilder()
                .setVersion(out.version())
                .setRevision(out.revision())
                .setApplied(out.applied())
                .build();
    }

    private void respondFailure(GrpcServerRequest<?, PutReply> req, ConfigWrite w, Throwable e) {
        GrpcStatus status =
                e instanceof ConfigException c && c.isConflict() ? GrpcStatus.ABORTED : GrpcStatus.UNAVAILABLE;
        LOG.infof("admin put failed kind=%s name=%s status=%s error=%s", w.kind(), w.name(), status, e.getMessage());
        req.response().status(status).statusMessage(e.getMessage()).end();
    }

    private void getConfig(GrpcServerRequest<?, ConfigReply> req) {
        onControlContext(() -> Future.succeededFuture(configReply(store.current())))
                .onSuccess(reply -> req.response().end(reply));
    }

    private ConfigReply configReply(ClusterConfig c) {
        ConfigReply.Builder b = ConfigReply.newBuilder().setRevision(c.revision());
        c.tiers().values().forEach(t -> b.addTiers(ProtoMapping.tierSpec(t)));
        c.workspaces().values().forEach(w -> b.addWorkspaces(ProtoMapping.workspaceSpec(w)));
        c.services().values().forEach(s -> b.addServices(ProtoMapping.serviceSpec(s)));
        c.pools().values().forEach(p -> b.addPools(ProtoMapping.poolSpec(p)));
        store.versions()
                .forEach(
                        (k, v) -> b.addVersions(Versioned.newBuilder().setKey(k).setVersion(v)));
        return b.build();
    }

    private <T> Future<T> onControlContext(Supplier<Future<T>> action) {
        Promise<T> p = Promise.promise();
        controlContext.runOnContext(v -> action.get().onComplete(p));
        return p.future();
    }
}
