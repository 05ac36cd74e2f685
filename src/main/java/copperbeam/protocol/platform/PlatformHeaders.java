package copperbeam.protocol.platform;

import copperbeam.Api.Report;
import copperbeam.protocol.BadRequest;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.Tokens;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Parses and formats the values of the platform's own headers. */
public final class PlatformHeaders {
    /** Longest valid X-Timeout; no client waits longer than a day. */
    public static final Duration MAX_TIMEOUT = Duration.ofDays(1);

    private static final int MAX_PROMPT_TOKENS = Tokens.maxInBody(HttpCall.MAX_BODY_BYTES);

    private PlatformHeaders() {}

    /** The sizes of a request in tokens; {@code prefix} is null if the request shares no prefix. */
    public record Attrs(String prefix, double promptTokens, double prefixTokens, double maxAnswerTokens) {}

    /** Parses X-Timeout: a whole number followed by {@code m} for milliseconds or {@code u} for microseconds. */
    public static Duration parseTimeout(String value) throws BadRequest {
        String text = value == null ? "" : value.strip();
        long microsPerUnit = text.endsWith("m") ? 1000 : text.endsWith("u") ? 1 : 0;
        try {
            long micros = microsPerUnit == 0
                    ? 0
                    : Math.multiplyExact(parseCount(text.substring(0, text.length() - 1)), microsPerUnit);
            if (micros > 0 && micros <= MAX_TIMEOUT.toSeconds() * 1_000_000) {
                return Duration.ofNanos(micros * 1000);
            }
        } catch (NumberFormatException | ArithmeticException e) {
            // rejected below like any other invalid value
        }
        throw new BadRequest(400, "X-Timeout is not a span");
    }

    public static String formatTimeout(Duration duration) {
        return Math.max(1, duration.toMillis()) + "m";
    }

    /**
     * Parses X-Attrs: comma-separated {@code name=value} pairs; unknown names are ignored. A prompt or prefix longer than
     * any body can hold is an error.
     */
    public static Attrs parseAttrs(String value) throws BadRequest {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : (value == null ? "" : value).split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0 && !pair.isBlank()) {
                throw new BadRequest(400, "X-Attrs holds something that is no pair");
            } else if (equals > 0) {
                pairs.put(
                        pair.substring(0, equals).strip(),
                        pair.substring(equals + 1).strip());
            }
        }
        String prefix = pairs.get("prefix");
        return new Attrs(
                prefix == null || prefix.isEmpty() ? null : prefix,
                parseTokens(pairs, "prompt_len", MAX_PROMPT_TOKENS),
                parseTokens(pairs, "prefix_len", MAX_PROMPT_TOKENS),
                parseTokens(pairs, "max_out", Long.MAX_VALUE));
    }

    private static double parseTokens(Map<String, String> pairs, String name, long max) throws BadRequest {
        long tokens;
        try {
            tokens = parseCount(pairs.getOrDefault(name, "0"));
        } catch (NumberFormatException e) {
            throw new BadRequest(400, "X-Attrs: " + name + " is not a count of tokens");
        }
        if (tokens > max) {
            throw new BadRequest(400, "X-Attrs: " + name + " is more than a body can hold");
        }
        return tokens;
    }

    private static long parseCount(String digits) {
        if (digits.isEmpty() || digits.length() > 15 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new NumberFormatException(digits);
        }
        return Long.parseLong(digits);
    }

    /**
     * Parses a load report. Metrics may have the names that the settings use or those of the platform. Returns null if it
     * holds no known metric.
     */
    public static Report parseReport(String value) {
        Map<String, Double> metrics = new HashMap<>();
        for (String pair : (value == null ? "" : value).split(",")) {
            int equals = pair.indexOf('=');
            try {
                if (equals > 0) {
                    metrics.put(
                            pair.substring(0, equals).strip(),
                            Double.valueOf(pair.substring(equals + 1).strip()));
                }
            } catch (NumberFormatException e) {
                // an invalid number counts as missing
            }
        }
        Report report = new Report(
                finiteMetric(metrics, "util", "cpu"),
                finiteMetric(metrics, "queue", "waiting"),
                finiteMetric(metrics, "inflight", "active"),
                finiteMetric(metrics, "x0", "x0"),
                finiteMetric(metrics, "x1", "x1"));
        boolean empty = Double.isNaN(report.slotShare() + 0)
                && Double.isNaN(report.waitingRequests())
                && Double.isNaN(report.openRequests())
                && Double.isNaN(report.memoryShare())
                && Double.isNaN(report.waitingThousandTokens());
        return empty ? null : report;
    }

    private static double finiteMetric(Map<String, Double> metrics, String name, String platformName) {
        double value = metrics.getOrDefault(name, metrics.getOrDefault(platformName, Double.NaN));
        return Double.isFinite(value) ? value : Double.NaN;
    }
}
