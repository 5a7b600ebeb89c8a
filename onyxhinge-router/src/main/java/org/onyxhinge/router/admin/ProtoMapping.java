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
 * Maps between the schema's messages and the core's records. From the schema, the records' own checks
 * apply and throw {@link IllegalArgumentException} naming the bad field.
 */
public final class ProtoMapping {

    private ProtoMapping() {}

    /** A tier from its schema message. */
    public static Tier tier(TierSpec t) {
        return new Tier(
                t.getName(), t.getRank(), t.getFirstTokenBudgetMs(), t.getBetweenTokenBudgetMs(), t.getDeadlineMs());
    }

    /** A workspace from its schema message. */
    public static Workspace workspace(WorkspaceSpec w) {
        return new Workspace(w.getName(), w.getMaxInFlight());
    }

    /** A service from its schema message. */
    public static Service service(ServiceSpec s) {
        ServiceKind kind = switch (s.getKind()) {
            case MODEL -> ServiceKind.MODEL;
            case PLAIN -> ServiceKind.PLAIN;
            case SERVICE_KIND_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException("service " + s.getName() + ": kind must be MODEL or PLAIN");
        };
        return new Service(s.getName(), kind, s.getPool(), s.getNonIdempotent());
    }

    /** A pool from its schema message. */
    public static Pool pool(PoolSpec p) {
        return new Pool(p.getName(), p.getModel());
    }

    /** The schema message of a tier. */
    public static TierSpec tierSpec(Tier t) {
        return TierSpec.newBuilder()
                .setName(t.name())
                .setRank(t.rank())
                .setFirstTokenBudgetMs(t.firstTokenBudgetMs())
                .setBetweenTokenBudgetMs(t.betweenTokenBudgetMs())
                .setDeadlineMs(t.deadlineMs())
                .build();
    }

    /** The schema message of a workspace. */
    public static WorkspaceSpec workspaceSpec(Workspace w) {
        return WorkspaceSpec.newBuilder()
                .setName(w.name())
                .setMaxInFlight(w.maxInFlight())
                .build();
    }

    /** The schema message of a service. */
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

    /** The schema message of a pool. */
    public static PoolSpec poolSpec(Pool p) {
        return PoolSpec.newBuilder().setName(p.name()).setModel(p.model()).build();
    }
}
