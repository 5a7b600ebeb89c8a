package org.onyxhinge.router.admin;

import java.util.List;
import java.util.UUID;

import com.google.protobuf.Message;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.common.ServiceMethod;
import org.onyxhinge.api.AdminMethods;
import org.onyxhinge.api.v1.ConfigReply;
import org.onyxhinge.api.v1.GetConfigRequest;
import org.onyxhinge.api.v1.OrderPoolReply;
import org.onyxhinge.api.v1.OrderPoolRequest;
import org.onyxhinge.api.v1.PoolSpec;
import org.onyxhinge.api.v1.PutPoolRequest;
import org.onyxhinge.api.v1.PutReply;
import org.onyxhinge.api.v1.PutServiceRequest;
import org.onyxhinge.api.v1.PutTierRequest;
import org.onyxhinge.api.v1.PutWorkspaceRequest;
import org.onyxhinge.api.v1.ServiceSpec;
import org.onyxhinge.api.v1.TierSpec;
import org.onyxhinge.api.v1.Versioned;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.core.order.OrderKind;

/**
 * Client of a router's {@code onyxhinge.admin.v1.Admin} service. {@link #apply} writes each object with
 * the version that it read before as the expected version, so that a concurrent change by another
 * operator is reported as a conflict and not overwritten.
 */
public final class AdminClient implements AutoCloseable {

    private final GrpcClient client;
    private final SocketAddress address;

    private AdminClient(Vertx vertx, String host, int port) {
        this.client = GrpcClient.client(vertx);
        this.address = SocketAddress.inetSocketAddress(port, host);
    }

    /** Creates a client of the router whose admin port is given. */
    public static AdminClient create(Vertx vertx, String host, int port) {
        return new AdminClient(vertx, host, port);
    }

    /** Reads the configuration in force. */
    public Future<ConfigReply> show() {
        return call(AdminMethods.GET_CONFIG_CALL, GetConfigRequest.getDefaultInstance());
    }

    /**
     * Writes the objects in order, each with its version in force as the expected version. Stops at the
     * first write that fails.
     */
    public Future<List<PutReply>> apply(List<Message> objects) {
        return show().compose(current -> {
            Future<List<PutReply>> chain = Future.succeededFuture(new java.util.ArrayList<>());
            for (Message m : objects) {
                chain = chain.compose(replies -> put(m, versionOf(current, m)).map(r -> {
                    replies.add(r);
                    return replies;
                }));
            }
            return chain;
        });
    }

    /** Writes one object if its current version is {@code expectedVersion}. */
    public Future<PutReply> put(Message m, long expectedVersion) {
        String operationId = UUID.randomUUID().toString();
        return switch (m) {
            case TierSpec t ->
                call(
                        AdminMethods.PUT_TIER_CALL,
                        PutTierRequest.newBuilder()
                                .setTier(t)
                                .setExpectedVersion(expectedVersion)
                                .setOperationId(operationId)
                                .build());
            case WorkspaceSpec w ->
                call(
                        AdminMethods.PUT_WORKSPACE_CALL,
                        PutWorkspaceRequest.newBuilder()
                                .setWorkspace(w)
                                .setExpectedVersion(expectedVersion)
                                .setOperationId(operationId)
                                .build());
            case ServiceSpec s ->
                call(
                        AdminMethods.PUT_SERVICE_CALL,
                        PutServiceRequest.newBuilder()
                                .setService(s)
                                .setExpectedVersion(expectedVersion)
                                .setOperationId(operationId)
                                .build());
            case PoolSpec p ->
                call(
                        AdminMethods.PUT_POOL_CALL,
                        PutPoolRequest.newBuilder()
                                .setPool(p)
                                .setExpectedVersion(expectedVersion)
                                .setOperationId(operationId)
                                .build());
            default -> Future.failedFuture(new IllegalArgumentException("not a configuration object: " + m));
        };
    }

    /** Sends an order to every target of a pool. */
    public Future<OrderPoolReply> order(String pool, OrderKind kind, String argument) {
        return call(
                AdminMethods.ORDER_POOL_CALL,
                OrderPoolRequest.newBuilder()
                        .setPool(pool)
                        .setKind(org.onyxhinge.api.v1.OrderKind.valueOf(kind.name()))
                        .setArgument(argument)
                        .build());
    }

    private static long versionOf(ConfigReply current, Message m) {
        String key = switch (m) {
            case TierSpec t -> "config/tier/" + t.getName();
            case WorkspaceSpec w -> "config/workspace/" + w.getName();
            case ServiceSpec s -> "config/service/" + s.getName();
            case PoolSpec p -> "config/pool/" + p.getName();
            default -> "";
        };
        return current.getVersionsList().stream()
                .filter(v -> v.getKey().equals(key))
                .mapToLong(Versioned::getVersion)
                .findFirst()
                .orElse(0);
    }

    private <Req, Resp> Future<Resp> call(ServiceMethod<Resp, Req> method, Req message) {
        return client.request(address, method).compose(req -> {
            req.end(message);
            return req.response().compose(resp -> resp.last());
        });
    }

    @Override
    public void close() {
        client.close();
    }
}
