package copperbeam.protocol.openai;

import java.time.Duration;
import java.util.Map;

/** What the operator's file offers by the chat API: each model's name with what it stands for. */
public record ChatModels(Map<String, Model> models) {

    /**
     * @param timeout how long a client of this model waits for a first token
     * @param maxTokens what an answer may hold where the client does not say
     */
    public record Model(String requestClass, Duration timeout, int maxTokens) {}
}
