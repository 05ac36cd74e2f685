package copperbeam.routing;

import java.time.Instant;

/**
 * One client's request as the core sees it, independent of the protocol. Only transports read the {@code payload}.
 *
 * @param id identifies the request to servers
 * @param customer name of the customer in the settings, or null
 * @param promptTokens the prompt's length, as the client or its front says
 * @param prefix identifies the beginning of the prompt that is shared with other sessions, or null
 * @param deadline when the client stops waiting for the first token
 * @param resumed whether the client asks for the rest of a broken stream; such a request has already run
 */
public record RequestSpec(
        String id,
        String requestClass,
        String customer,
        String session,
        String prefix,
        double promptTokens,
        double prefixTokens,
        double maxAnswerTokens,
        Instant deadline,
        boolean resumed,
        Payload payload) {

    /** Creates a request without a customer. */
    public RequestSpec(
            String id,
            String requestClass,
            String session,
            String prefix,
            double promptTokens,
            double prefixTokens,
            double maxAnswerTokens,
            Instant deadline,
            boolean resumed,
            Payload payload) {
        this(
                id,
                requestClass,
                null,
                session,
                prefix,
                promptTokens,
                prefixTokens,
                maxAnswerTokens,
                deadline,
                resumed,
                payload);
    }

    /**
     * The prompt's length in tokens, so far as the content can hold it. What the client says may be false, and estimates
     * for other requests must not rest on it.
     */
    double crediblePromptTokens() {
        return payload == null ? promptTokens : Math.min(promptTokens, payload.maxTokens());
    }

    /** The length of the prompt's shared beginning in tokens, no more than that of the prompt. */
    double crediblePrefixTokens() {
        return Math.min(prefixTokens, crediblePromptTokens());
    }

    /** Content that is passed on to a server unchanged. */
    public interface Payload {
        /** The most tokens that a prompt in this content can have. */
        default double maxTokens() {
            return Double.POSITIVE_INFINITY;
        }

        /** No further attempt will be made: gives up the memory that the content takes. May be called more than once. */
        default void release() {}
    }

    /** Gives up the memory of the payload, if there is one, as no further attempt will be made. */
    void releasePayload() {
        if (payload != null) {
            payload.release();
        }
    }
}
