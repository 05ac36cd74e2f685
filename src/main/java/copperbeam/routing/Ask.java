package copperbeam.routing;

import java.time.Instant;

/**
 * One client's request, whatever wire it came by. {@code payload} is for the transport alone to read.
 *
 * @param id the request's name towards servers
 * @param customer the tenant as the settings name it, or null
 * @param prefix the beginning shared with other sessions, or null
 * @param deadline when the client stops waiting for a first token
 * @param resumed the rest of a stream that broke is asked for: it has run
 */
public record Ask(
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

    /** Of no tenant. */
    public Ask(
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

    /** What is passed on to a server unchanged. */
    public interface Payload {}
}
