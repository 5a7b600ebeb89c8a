package org.onyxhinge.router.admin;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.Message;
import io.vavr.control.Either;
import org.onyxhinge.api.v1.PoolSpec;
import org.onyxhinge.api.v1.ServiceKind;
import org.onyxhinge.api.v1.ServiceSpec;
import org.onyxhinge.api.v1.TierSpec;
import org.onyxhinge.api.v1.WorkspaceSpec;
import org.onyxhinge.runtime.Settings;
import org.onyxhinge.runtime.SettingsException;

/**
 * Parser of setup files, which define configuration objects in the INI sections {@code [tier NAME]},
 * {@code [workspace NAME]}, {@code [service NAME]} and {@code [pool NAME]}. The keys of a section are the
 * fields of the protobuf message. See {@code examples/postvirki/setup.ini}. Validated like settings files:
 * the error names every invalid key.
 */
public final class SetupFile {

    private SetupFile() {}

    /** Returns the objects of a setup file in file order. */
    public static Either<SettingsException, List<Message>> read(Settings s) {
        List<Message> out = new ArrayList<>();
        for (String section : s.sections()) {
            String[] parts = section.trim().split("\\s+", 2);
            if (parts.length != 2) {
                s.problem(section, "-", "section must be named 'KIND NAME'");
                continue;
            }
            switch (parts[0]) {
                case "tier" -> out.add(tier(s, section, parts[1]));
                case "workspace" -> out.add(workspace(s, section, parts[1]));
                case "service" -> out.add(service(s, section, parts[1]));
                case "pool" -> out.add(pool(s, section, parts[1]));
                default -> s.problem(section, "-", "kind must be tier, workspace, service or pool");
            }
        }
        return s.check().map(ok -> out);
    }

    private static TierSpec tier(Settings s, String section, String name) {
        return TierSpec.newBuilder()
                .setName(name)
                .setRank((int) s.number(section, "rank", 0, 0, 1_000))
                .setFirstTokenBudgetMs(s.number(section, "first_token_budget_ms", 500, 1, 86_400_000))
                .setBetweenTokenBudgetMs(s.number(section, "between_token_budget_ms", 61, 1, 86_400_000))
                .setDeadlineMs(s.number(section, "deadline_ms", 30_000, 1, 86_400_000))
                .build();
    }

    private static WorkspaceSpec workspace(Settings s, String section, String name) {
        return WorkspaceSpec.newBuilder()
                .setName(name)
                .setMaxInFlight((int) s.number(section, "max_in_flight", 64, 1, 1_000_000))
                .build();
    }

    private static ServiceSpec service(Settings s, String section, String name) {
        String kind = s.text(section, "kind", "model");
        if (!kind.equals("model") && !kind.equals("plain")) {
            s.problem(section, "kind", "must be model or plain, was '" + kind + "'");
        }
        return ServiceSpec.newBuilder()
                .setName(name)
                .setKind(kind.equals("plain") ? ServiceKind.PLAIN : ServiceKind.MODEL)
                .setPool(s.text(section, "pool"))
                .setNonIdempotent(s.flag(section, "non_idempotent", false))
                .build();
    }

    private static PoolSpec pool(Settings s, String section, String name) {
        return PoolSpec.newBuilder()
                .setName(name)
                .setModel(s.text(section, "model"))
                .build();
    }
}
