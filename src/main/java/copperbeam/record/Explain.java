package copperbeam.record;

import copperbeam.record.wire.Event;
import copperbeam.record.wire.What;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Prints a recording for people: one request's events, all events, or counts of how requests and attempts ended. */
public final class Explain {
    private final Recording recording;
    private final PrintStream out;

    public Explain(Recording recording, PrintStream out) {
        this.recording = recording;
        this.out = out;
    }

    /**
     * Prints the events of one request, given the id that its client sent or the conductor's own number of it; returns
     * false if the recording has none.
     */
    public boolean printRequest(String id) {
        List<Event> events = recording.requests().entrySet().stream()
                .filter(e -> String.valueOf(e.getKey()).equals(id) || id.equals(clientId(e.getValue())))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
        if (events == null) {
            return false;
        }
        Event arrived = Recording.first(events, What.ARRIVED);
        long startMicros = events.get(0).getAtMicros();
        out.printf(
                Locale.ROOT,
                "request %s, number %d, from %s%n",
                arrived == null ? "(its arrival is lost)" : arrived.getText(),
                events.get(0).getRequest(),
                wallTime(startMicros));
        for (Event e : events) {
            out.printf(
                    Locale.ROOT,
                    "%9.3f ms  %-10s %s%n",
                    (e.getAtMicros() - startMicros) / 1e3,
                    e.getWhat().name().toLowerCase(Locale.ROOT),
                    details(e));
        }
        return true;
    }

    /** Prints counts of how requests ended, by class, reason and last attempt, and of how attempts ended. */
    public void printCauses() {
        out.printf(
                Locale.ROOT,
                "%s: %d events from %s, %d lost before them%n",
                recording.header().getName(),
                recording.events().size(),
                wallTime(0),
                recording.header().getLost());
        Map<String, long[]> endCounts = new TreeMap<>();
        Map<String, long[]> attemptCounts = new TreeMap<>();
        recording.requests().values().forEach(events -> {
            addToRow(
                    endCounts,
                    endOf(events),
                    events.get(events.size() - 1).getAtMicros() - events.get(0).getAtMicros());
            countAttempts(events, attemptCounts);
        });
        printTable("requests: class, end, reason, last attempt", endCounts);
        printTable("attempts: role, connection, end", attemptCounts);
    }

    /** Prints one line per event, including events that belong to no request. */
    public void printEvents() {
        recording
                .events()
                .forEach(e -> out.printf(
                        Locale.ROOT,
                        "%s %6d %-10s %s%n",
                        wallTime(e.getAtMicros()),
                        e.getRequest(),
                        e.getWhat().name().toLowerCase(Locale.ROOT),
                        details(e)));
    }

    private static String endOf(List<Event> events) {
        Event arrived = Recording.first(events, What.ARRIVED);
        Event attemptEnd = Recording.last(events, What.ENDED);
        String requestClass = arrived == null
                ? "?"
                : Recording.word(arrived, 1) + (arrived.getText().endsWith(" rest") ? " (rest)" : "");
        for (Event event : events) {
            switch (event.getWhat()) {
                case REFUSED, FAILED, SERVED, BROKEN, LEFT -> {
                    return String.join(
                            ", ",
                            requestClass,
                            eventName(event),
                            event.getText().isEmpty() ? "-" : event.getText(),
                            attemptEnd == null ? "none" : attemptEnd.getText());
                }
                default -> {}
            }
        }
        return requestClass + ", open";
    }

    private static void countAttempts(List<Event> events, Map<String, long[]> counts) {
        String role = "?";
        String connection = "none";
        for (Event event : events) {
            switch (event.getWhat()) {
                case ATTEMPT -> {
                    role = event.getText().startsWith("WRITER") ? "write" : "read";
                    connection = "none";
                }
                case CONNECTION -> connection = event.getText();
                case ENDED ->
                    addToRow(counts, role + ", " + connection + ", " + event.getText(), event.getSpanMicros());
                default -> {}
            }
        }
    }

    private static void addToRow(Map<String, long[]> table, String key, long micros) {
        long[] row = table.computeIfAbsent(key, k -> new long[2]);
        row[0]++;
        row[1] += micros;
    }

    private void printTable(String title, Map<String, long[]> rows) {
        out.printf("%n%8s %10s  %s%n", "count", "mean ms", title);
        rows.entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<String, long[]> r) -> -r.getValue()[0]))
                .forEach(r -> out.printf(
                        Locale.ROOT,
                        "%8d %10.1f  %s%n",
                        r.getValue()[0],
                        r.getValue()[1] / 1e3 / r.getValue()[0],
                        r.getKey()));
    }

    private static String eventName(Event event) {
        return event.getWhat().name().toLowerCase(Locale.ROOT);
    }

    private static String clientId(List<Event> events) {
        Event arrived = Recording.first(events, What.ARRIVED);
        return arrived == null ? null : Recording.word(arrived, 0);
    }

    private Instant wallTime(long offsetMicros) {
        long unixMicros = recording.header().getStartedMicros() + offsetMicros;
        return Instant.ofEpochSecond(unixMicros / 1_000_000, unixMicros % 1_000_000 * 1000);
    }

    private static String details(Event event) {
        boolean concernsAttempt = switch (event.getWhat()) {
            case ATTEMPT, CONNECTION, WORD, FIRST, ENDED, CANCEL -> true;
            default -> false;
        };
        return ((concernsAttempt ? "attempt " + event.getAttempt() + " " : "")
                        + (event.getServer().isEmpty() ? "" : event.getServer() + " ")
                        + event.getText()
                        + (event.getSpanMicros() == 0
                                ? ""
                                : String.format(Locale.ROOT, " (%.3f ms)", event.getSpanMicros() / 1e3)))
                .strip();
    }
}
