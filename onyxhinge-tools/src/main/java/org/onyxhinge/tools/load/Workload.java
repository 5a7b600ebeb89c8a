package org.onyxhinge.tools.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** Reader of workload files: JSON Lines of {@link WorkItem}; blank lines and lines starting with # are skipped. */
public final class Workload {

    private Workload() {}

    /** Reads all items; throws {@link IllegalArgumentException} with the file and line of the first invalid item. */
    public static List<WorkItem> read(Path file) throws IOException {
        List<WorkItem> out = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).trim();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            try {
                out.add(WorkItem.fromJson(new JsonObject(line)));
            } catch (DecodeException | IllegalArgumentException e) {
                throw new IllegalArgumentException(file + ":" + (i + 1) + ": " + e.getMessage(), e);
            }
        }
        return out;
    }
}
