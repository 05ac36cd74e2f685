package copperbeam.protocol.openai;

import java.time.Duration;
import java.util.Map;

/** The models that the operator's configuration offers through the chat API, by name. */
public record ChatModels(Map<String, Model> models) {

    /**
     * How requests for a model are handled.
     *
     * @param timeout how long a client of this model waits for the first token
     * @param maxTokens the maximum length of an answer if the client doesn't set one
     */
    public record Model(String requestClass, Duration timeout, int maxTokens) {}
}
