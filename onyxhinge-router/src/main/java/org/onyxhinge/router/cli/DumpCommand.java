package org.onyxhinge.router.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.onyxhinge.runtime.Launch;
import org.onyxhinge.runtime.StatusEndpoints;

/** {@code dump}: prints the state dump of an onyxhinge process, read from its HTTP or status port. */
@Command(name = "dump", description = "Print a process's state dump (router HTTP port or agent status port)")
public final class DumpCommand implements Runnable {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Option(name = "--url", title = "URL", description = "base URL, such as http://127.0.0.1:8080")
    @Required
    private String url;

    @Override
    public void run() {
        try {
            HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
            HttpRequest req = HttpRequest.newBuilder(URI.create(url + StatusEndpoints.STATE_PATH))
                    .timeout(TIMEOUT)
                    .build();
            System.out.println(
                    http.send(req, HttpResponse.BodyHandlers.ofString()).body());
        } catch (IOException | IllegalArgumentException e) {
            Launch.fail(Launch.EXIT_FAILURE, "cannot read " + url + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
