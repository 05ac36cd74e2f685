package copperbeam.protocol.etcd;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import copperbeam.membership.StoreAnswer.Listing;
import copperbeam.membership.StoreAnswer.ServerUpdate;
import copperbeam.membership.StoreAnswer.WatchResponse;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.etcd.EtcdWire.ParsedKey;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads the response to one call as it arrives, and passes on each object of it as soon as the object is complete, whether or
 * not a line or the body ends there. Runs on the reactor's thread, so that a connection is read no faster than it is parsed.
 */
final class ResponseReader implements HttpClient.ResponseListener {
    private static final int MAX_PROBLEMS = 16; // of one object
    private static final long MAX_LIST_BYTES = 64L << 20;

    private final Function<JsonElement, ParsedKey> keyParser;
    private final Function<JsonObject, EtcdResponse> objectParser;
    private final Consumer<EtcdResponse> onResponse;
    private final GatewayReader reader;
    private final long maxBytes;
    private List<ServerUpdate> updates = new ArrayList<>();
    private List<String> problems = new ArrayList<>();
    private long receivedBytes;

    private ResponseReader(
            String arrayName,
            long maxBytes,
            Function<JsonElement, ParsedKey> keyParser,
            boolean isList,
            Consumer<EtcdResponse> onResponse) {
        this.keyParser = keyParser;
        this.onResponse = onResponse;
        this.maxBytes = maxBytes;
        objectParser = isList ? this::listed : this::watched;
        reader = new GatewayReader(arrayName, this::addKey, this::onObject);
    }

    /** For a range request; {@code onResponse} gets one response. */
    static ResponseReader ofList(String prefix, Consumer<EtcdResponse> onResponse) {
        return new ResponseReader(
                "kvs", MAX_LIST_BYTES, keyValue -> EtcdWire.parseKeyValue(prefix, keyValue, false), true, onResponse);
    }

    /**
     * For a watch; {@code onResponse} gets each response, and {@link EtcdResponse.Compacted} or {@link EtcdResponse.Failed} as
     * the last one.
     */
    static ResponseReader ofWatch(String prefix, Consumer<EtcdResponse> onResponse) {
        return new ResponseReader(
                "events", Long.MAX_VALUE, event -> EtcdWire.parseEvent(prefix, event), false, onResponse);
    }

    private void addKey(JsonElement element) {
        try {
            ParsedKey parsed = keyParser.apply(element);
            updates.add(parsed.update());
            addProblem(parsed.problem());
        } catch (RuntimeException e) { // whatever is wrong with it, the other entries count
            addProblem(String.valueOf(e.getMessage()));
        }
    }

    private void addProblem(String problem) {
        if (problem != null && problems.size() < MAX_PROBLEMS) {
            problems.add(problem);
        }
    }

    private void onObject(JsonObject object) {
        try {
            onResponse.accept(objectParser.apply(object));
        } catch (IllegalArgumentException e) {
            onResponse.accept(new EtcdResponse.Failed(e.getMessage()));
        }
        updates = new ArrayList<>();
        problems = new ArrayList<>();
    }

    private EtcdResponse listed(JsonObject object) {
        long revision = EtcdWire.storeRevision(object);
        if (revision <= 0 || EtcdWire.isTrue(object, "more")) {
            throw new IllegalArgumentException("the list has no revision, or is not whole");
        }
        return new EtcdResponse.Listed(new Listing(revision, updates), problems);
    }

    private EtcdResponse watched(JsonObject object) {
        JsonElement result = object.get("result");
        if (result == null || !result.isJsonObject()) {
            throw new IllegalArgumentException("the watch failed: " + object.get("error"));
        }
        JsonObject response = result.getAsJsonObject();
        long compactRevision = EtcdWire.wholeNumber(response, "compact_revision");
        if (compactRevision > 0) {
            return new EtcdResponse.Compacted(compactRevision);
        }
        if (EtcdWire.isTrue(response, "canceled")) {
            throw new IllegalArgumentException("the watch was canceled: " + EtcdWire.text(response, "cancel_reason"));
        }
        return new EtcdResponse.Watched(new WatchResponse(EtcdWire.storeRevision(response), updates), problems);
    }

    @Override
    public void head(int status) {
        if (status != 200) {
            onResponse.accept(new EtcdResponse.Failed("status " + status));
        }
    }

    @Override
    public void data(byte[] bytes) throws IOException {
        receivedBytes += bytes.length;
        if (receivedBytes > maxBytes) {
            throw new IOException("a list above " + maxBytes + " bytes");
        }
        reader.read(bytes);
    }

    @Override
    public void end() {
        onResponse.accept(new EtcdResponse.Failed("the response has ended"));
    }

    @Override
    public void failed(String reason) {
        onResponse.accept(new EtcdResponse.Failed(reason));
    }
}
