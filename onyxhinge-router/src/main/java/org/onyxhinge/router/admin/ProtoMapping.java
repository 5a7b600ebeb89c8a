package org.onyxhinge.router.admin;

import org.onyxhinge.api.v1.PoolSpec;
import org.onyxhinge.api.v1.ServiceSpec;
import org.onyxhinge.api.v1.TierSpec;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.core.model.Pool;
import org.onyxhinge.core.model.Service;
import org.onyxhinge.core.model.ServiceKind;
import org.onyxhinge.core.model.Tier;
import org.onyxhinge.core.model.Workspace;

/**
 * Converts between protobuf messages and model records. Conversion to a record applies the record's
 * validation, which throws {@link IllegalArgumentException} with the name of the invalid field.
 */
public final class ProtoMapping {

    private ProtoMapping() {}

    /** Converts a protobuf message to a tier. */
    public static Tier tier(TierSpec t) {
        return new Tier(
                t.getName(), t.getRank(), t.getFirstTokenBudgetMs(), t.getBetweenTokenBudgetMs(), t.getDeadlineMs());
    }

    /** Converts a protobuf message to a workspace. */
    public static Workspace workspace(WorkspaceSpec w) {
        return new Workspace(w.getName(), w.getMaxInFlight());
    }

    /** Converts a protobuf message to a service. */
    public static Service service(ServiceSpec s) {
        ServiceKind kind = switch (s.getKind()) {
            case MODEL -> ServiceKind.MODEL;
            case PLAIN -> ServiceKind.PLAIN;
            case SERVICE_KIND_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException("service " + s.getName() + ": kind must be MODEL or PLAIN");
        };
        return new Service(s.getName(), kind, s.getPool(), s.getNonIdempotent());
    }

    /** Converts a protobuf message to a pool. */
    public static Pool pool(PoolSpec p) {
        return new Pool(p.getName(), p.getModel());
    }

    /** Converts a tier to its protobuf message. */
    public static TierSpec tierSpec(Tier t) {
        return TierSpec.newBuilder()
                .setName(t.name())
                .setRank(t.rank())
                .setFirstTokenBudgetMs(t.firstTokenBudgetMs())
                .setBetweenTokenBudgetMs(t.betweenTokenBudgetMs())
                .setDeadlineMs(t.deadlineMs())
                .build();
    }

    /** Converts a workspace to its protobuf message. */
    public static WorkspaceSpec workspaceSpec(Workspace w) {
        return WorkspaceSpec.newBuilder()
                .setName(w.name())
                .setMaxInFlight(w.maxInFlight())
                .build();
    }

    /** Converts a service to its protobuf message. */
    public static ServiceSpec serviceSpec(Service s) {
        return ServiceSpec.newBuilder()
                .setName(s.name())
                .setKind(
                        s.kind() == ServiceKind.MODEL
                                ? org.onyxhinge.api.v1.ServiceKind.MODEL
                                : org.onyxhinge.api.v1.ServiceKind.PLAIN)
                .setPool(s.pool())
                .setNonIdempotent(s.nonIdempotent())
                .build();
    }

    /** Converts a pool to its protobuf message. */
    public static PoolSpec poolSpec(Pool p) {
        return PoolSpec.newBuilder().setName(p.name()).setModel(p.model()).build();
    }
}
