package copperbeam.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import copperbeam.Api.*;
import copperbeam.Brain;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Runs one {@link Brain} per instance that the simulator starts, and translates messages and actions between them. */
public final class SimHost {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<Long, Brain> instances = new HashMap<>();
    private final StringWriter reply = new StringWriter();
    private boolean inBatch;
    private double now;
    private long frame;

    private SimHost() {}

    /** Serves until the end of input or an invalid line; returns the exit code. */
    public static int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        SimHost host = new SimHost();
        long number = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            number++;
            try {
                if (!line.isBlank() && host.take(Wire.message(line))) {
                    out.write(host.reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    host.reply.getBuffer().setLength(0);
                }
            } catch (Wire.Malformed e) {
                err.println("copperbeam simhost: line " + number + ": " + e.getMessage());
                return 1;
            }
        }
        return 0;
    }

    /** Handles a message; returns true if it ended its batch, so that the reply is complete. */
    private boolean take(Wire.Message m) throws IOException {
        if (m.name().equals("frame")) {
            now = Wire.number(m.fields(), "wall_s");
            frame = Wire.whole(m.fields(), "frame");
            inBatch = true;
            return false;
        }
        if (!inBatch) {
            throw new Wire.Malformed("'" + m.name() + "' outside a batch");
        }
        if (m.name().equals("over_to_you")) {
            inBatch = false;
            try (JsonGenerator g = line("eor")) {
                g.writeNumberField("frame", frame);
            }
            reply.write('\n');
            return true;
        }
        long i = Wire.whole(m.fields(), "i");
        if (m.name().equals("start")) {
            instances.put(
                    i, new Brain(Decoder.settings(Wire.map(m.fields(), "config")), Wire.whole(m.fields(), "seed")));
        } else if (m.name().equals("retire")) {
            instances.remove(i);
        } else {
            deliver(i, m);
        }
        return false;
    }

    private void deliver(long i, Wire.Message m) throws IOException {
        Brain brain = instances.get(i);
        if (brain == null) {
            throw new Wire.Malformed("'" + m.name() + "' for instance " + i + ", which has not started");
        }
        Event event = Decoder.event(m);
        if (event != null) {
            for (Action action : brain.on(now, event)) {
                write(i, action);
            }
        }
    }

    private JsonGenerator line(String name) throws IOException {
        JsonGenerator g = JSON.createGenerator(reply);
        g.writeStartObject();
        g.writeObjectFieldStart(name);
        return g;
    }

    private void write(long i, Action action) throws IOException {
        if (action instanceof Attempt a) {
            try (JsonGenerator g = call("attempt", i, a.request())) {
                g.writeStringField("engine", a.server());
                g.writeNumberField("try_until_s", a.until());
            }
        } else if (action instanceof Refuse a) {
            try (JsonGenerator g = call("say_no", i, a.request())) {
                g.writeNumberField("retry_after_s", a.retryAfterS());
            }
        } else if (action instanceof Fail a) {
            call("give_up", i, a.request()).close();
        } else if (action instanceof Cancel a) {
            try (JsonGenerator g = call("stop_attempt", i, a.request())) {
                g.writeNumberField("seq_no", a.attempt());
            }
        } else if (action instanceof Transfer a) {
            call("transfer", i, a.request()).close();
        } else if (action instanceof Release a) {
            call("release", i, a.request()).close();
        } else if (action instanceof Probe a) {
            try (JsonGenerator g = of("check", i)) {
                g.writeStringField("engine", a.server());
            }
        } else if (action instanceof Timer a) {
            try (JsonGenerator g = of("sleep", i)) {
                g.writeNumberField("wait_s", a.afterS());
                g.writeStringField("tag", a.tag());
            }
        } else if (action instanceof FollowList) {
            try (JsonGenerator g = of("follow", i)) {
                g.writeBooleanField("enable", true);
            }
        } else if (action instanceof Remark a) {
            try (JsonGenerator g = of("remark", i)) {
                g.writeStringField("words", a.text());
            }
        }
        reply.write('\n');
    }

    private JsonGenerator of(String name, long i) throws IOException {
        JsonGenerator g = line(name);
        g.writeNumberField("i", i);
        return g;
    }

    private JsonGenerator call(String name, long i, long request) throws IOException {
        JsonGenerator g = of(name, i);
        g.writeNumberField("call", request);
        return g;
    }
}
