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
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            Header header = Header.parseDelimitedFrom(in);
            if (header == null || header.getFormat() != FileRecorder.FORMAT) {
                throw new IOException(file + " is no recording of format " + FileRecorder.FORMAT);
            }
            List<Event> events = new ArrayList<>();
            try {
                for (Event e = Event.parseDelimitedFrom(in); e != null; e = Event.parseDelimitedFrom(in)) {
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
        Map<Long, List<Event>> all = new LinkedHashMap<>();
        for (Event e : events) {
            if (e.getRequest() != 0) {
                all.computeIfAbsent(e.getRequest(), r -> new ArrayList<>()).add(e);
            }
        }
        return all;
    }

    /** The word at an index of an event's text, or an empty string. */
    static String word(Event e, int at) {
        String[] words = e.getText().split(" ");
        return at < words.length ? words[at] : "";
    }

    static Event first(List<Event> life, What what) {
        return life.stream().filter(e -> e.getWhat() == what).findFirst().orElse(null);
    }

    static Event last(List<Event> life, What what) {
        Event found = null;
        for (Event e : life) {
            found = e.getWhat() == what ? e : found;
        }
        return found;
    }
}
