package copperbeam.routing;

import java.time.Instant;

/**
 * One client's request as the core sees it, independent of the protocol. Only transports read the {@code payload}.
 *
 * @param id identifies the request to servers
 * @param customer name of the customer in the settings, or null
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

    /** Content that is passed on to a server unchanged. */
    public interface Payload {
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
