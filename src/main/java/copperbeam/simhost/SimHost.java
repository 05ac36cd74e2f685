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
        long lineNumber = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            lineNumber++;
            try {
                if (!line.isBlank() && host.handle(Wire.parseMessage(line))) {
                    out.write(host.reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    host.reply.getBuffer().setLength(0);
                }
            } catch (Wire.Malformed e) {
                err.println("copperbeam simhost: line " + lineNumber + ": " + e.getMessage());
                return 1;
            }
        }
        return 0;
    }

    /** Handles a message; returns true if it ended its batch, so that the reply is complete. */
    private boolean handle(Wire.Message message) throws IOException {
        if (message.name().equals("frame")) {
            now = Wire.number(message.fields(), "wall_s");
            frame = Wire.wholeNumber(message.fields(), "frame");
            inBatch = true;
            return false;
        }
        if (!inBatch) {
            throw new Wire.Malformed("'" + message.name() + "' outside a batch");
        }
        if (message.name().equals("over_to_you")) {
            inBatch = false;
            try (JsonGenerator json = startLine("eor")) {
                json.writeNumberField("frame", frame);
            }
            reply.write('\n');
            return true;
        }
        long instance = Wire.wholeNumber(message.fields(), "i");
        if (message.name().equals("start")) {
            instances.put(
                    instance,
                    new Brain(
                            Decoder.settings(Wire.map(message.fields(), "config")),
                            Wire.wholeNumber(message.fields(), "seed")));
        } else if (message.name().equals("retire")) {
            instances.remove(instance);
        } else {
            deliver(instance, message);
        }
        return false;
    }

    private void deliver(long instance, Wire.Message message) throws IOException {
        Brain brain = instances.get(instance);
        if (brain == null) {
            throw new Wire.Malformed("'" + message.name() + "' for instance " + instance + ", which has not started");
        }
        Event event = Decoder.event(message);
        if (event != null) {
            for (Action action : brain.onEvent(now, event)) {
                write(instance, action);
            }
        }
    }

    private JsonGenerator startLine(String name) throws IOException {
        JsonGenerator json = JSON.createGenerator(reply);
        json.writeStartObject();
        json.writeObjectFieldStart(name);
        return json;
    }

    private void write(long instance, Action action) throws IOException {
        if (action instanceof Attempt a) {
            try (JsonGenerator json = startRequestLine("attempt", instance, a.request())) {
                json.writeStringField("engine", a.server());
                json.writeNumberField("try_until_s", a.timeoutAt());
            }
        } else if (action instanceof Refuse a) {
            try (JsonGenerator json = startRequestLine("say_no", instance, a.request())) {
                json.writeNumberField("retry_after_s", a.retryAfterS());
            }
        } else if (action instanceof Fail a) {
            startRequestLine("give_up", instance, a.request()).close();
        } else if (action instanceof Cancel a) {
            try (JsonGenerator json = startRequestLine("stop_attempt", instance, a.request())) {
                json.writeNumberField("seq_no", a.attempt());
            }
        } else if (action instanceof Transfer a) {
            startRequestLine("transfer", instance, a.request()).close();
        } else if (action instanceof Release a) {
            startRequestLine("release", instance, a.request()).close();
        } else if (action instanceof Probe a) {
            try (JsonGenerator json = startInstanceLine("check", instance)) {
                json.writeStringField("engine", a.server());
            }
        } else if (action instanceof Timer a) {
            try (JsonGenerator json = startInstanceLine("sleep", instance)) {
                json.writeNumberField("wait_s", a.delayS());
                json.writeStringField("tag", a.tag());
            }
        } else if (action instanceof SubscribeToList) {
            try (JsonGenerator json = startInstanceLine("follow", instance)) {
                json.writeBooleanField("enable", true);
            }
        } else if (action instanceof Remark a) {
            try (JsonGenerator json = startInstanceLine("remark", instance)) {
                json.writeStringField("words", a.text());
            }
        }
        reply.write('\n');
    }

    private JsonGenerator startInstanceLine(String name, long instance) throws IOException {
        JsonGenerator json = startLine(name);
        json.writeNumberField("i", instance);
        return json;
    }

    private JsonGenerator startRequestLine(String name, long instance, long request) throws IOException {
        JsonGenerator json = startInstanceLine(name, instance);
        json.writeNumberField("call", request);
        return json;
    }
}
