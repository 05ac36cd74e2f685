package copperbeam.record;

import copperbeam.record.wire.Event;
import copperbeam.record.wire.Header;
import copperbeam.record.wire.What;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The contents of a recorder's file. If the last event is truncated, it is left out. */
public record Recording(Header header, List<Event> events) {
    /**
     * Reads a file.
     *
     * @throws IOException if it can't be read or is not a recording
     */
    public static Recording read(Path file) throws IOException {
        try (InputStream input = new BufferedInputStream(Files.newInputStream(file))) {
            Header header = Header.parseDelimitedFrom(input);
            if (header == null || header.getFormat() != FileRecorder.FORMAT_VERSION) {
                throw new IOException(file + " is no recording of format " + FileRecorder.FORMAT_VERSION);
            }
            List<Event> events = new ArrayList<>();
            try {
                for (Event e = Event.parseDelimitedFrom(input); e != null; e = Event.parseDelimitedFrom(input)) {
                    events.add(e);
                }
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                // the file is truncated within an event; those before it are complete
            }
            return new Recording(header, events);
        }
    }

    /** The events of each request in order, by the conductor's own number of the request. */
    Map<Long, List<Event>> requests() {
        Map<Long, List<Event>> byRequest = new LinkedHashMap<>();
        for (Event event : events) {
            if (event.getRequest() != 0) {
                byRequest
                        .computeIfAbsent(event.getRequest(), r -> new ArrayList<>())
                        .add(event);
            }
        }
        return byRequest;
    }

    /** The word at an index of an event's text, or an empty string. */
    static String word(Event event, int index) {
        String[] words = event.getText().split(" ");
        return index < words.length ? words[index] : "";
    }

    static Event first(List<Event> events, What type) {
        return events.stream().filter(e -> e.getWhat() == type).findFirst().orElse(null);
    }

    static Event last(List<Event> events, What type) {
        Event found = null;
        for (Event event : events) {
            found = event.getWhat() == type ? event : found;
        }
        return found;
    }
}
