package copperbeam.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides how long a call to a server may go on without an answer, or without more of one. Without I/O or clock: the peer asks for
 * the time that remains, and asks again when that is over.
 */
public final class AnswerDeadline {
    /** Longest time without progress in a stream that has begun; clients may give up after 5 s. */
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofSeconds(4);

    /** Longest pause in an answer that isn't a stream. */
    private static final Duration SHORT_ANSWER_PAUSE = Duration.ofMillis(800);

    /** Longest time from the head of an answer to its end where the head alone tells the outcome. */
    private static final Duration IRRELEVANT_BODY_TIME = Duration.ofMillis(800);

    private enum Phase {
        /** No head has come, or it begins a stream whose first event has not come. */
        UNANSWERED,
        /** The rest of a short answer is due, and tells something. */
        SHORT_ANSWER,
        /** The rest of an answer is due that tells nothing more: a refusal or an error. */
        IRRELEVANT_BODY,
        /** The first event was passed on, and the module decides whether the stream is. */
        STREAM_PENDING,
        /** The client has the stream. */
        STREAM
    }

    private final Instant expiresAt;
    private Phase phase = Phase.UNANSWERED;
    private Instant classifiedAt;

    /** {@code expiresAt}: the end of the call's own time, which holds until a stream has begun. */
    AnswerDeadline(Instant expiresAt) {
        this.expiresAt = expiresAt;
    }

    /** Whether a stream that has made no progress for so long is to be ended. */
    public static boolean isStreamStalled(Duration withoutProgress) {
        return withoutProgress.compareTo(STREAM_STALL_TIMEOUT) >= 0;
    }

    /** The head of the answer has come. */
    void answerClassified(Connector.AnswerKind kind, Instant now) {
        classifiedAt = now;
        phase = switch (kind) {
            case STREAM -> Phase.UNANSWERED;
            case READ, HEARD -> Phase.SHORT_ANSWER;
            case TURNED_AWAY, STATE_MISSING, ERROR -> Phase.IRRELEVANT_BODY;
        };
    }

    void firstEventReported() {
        phase = Phase.STREAM_PENDING;
    }

    void streamAccepted() {
        phase = Phase.STREAM;
    }

    /**
     * The time after which the call is to be ended unless more of its answer comes; not positive if that is due now.
     *
     * @param connection the call's connection, or null as long as it has none
     */
    Duration remaining(Instant now, Connector.Connection connection) {
        Duration untilExpiry = Duration.between(now, expiresAt);
        return switch (phase) {
            case UNANSWERED -> untilExpiry;
            case SHORT_ANSWER -> shorter(untilExpiry, SHORT_ANSWER_PAUSE.minus(silence(now, connection)));
            case IRRELEVANT_BODY ->
                shorter(untilExpiry, Duration.between(now, classifiedAt.plus(IRRELEVANT_BODY_TIME)));
            case STREAM_PENDING -> STREAM_STALL_TIMEOUT;
            case STREAM ->
                connection == null ? STREAM_STALL_TIMEOUT : STREAM_STALL_TIMEOUT.minus(connection.withoutProgress());
        };
    }

    /** Since the last byte, or since the head if the transport doesn't know. */
    private Duration silence(Instant now, Connector.Connection connection) {
        Duration sinceHead = Duration.between(classifiedAt, now);
        return connection == null ? sinceHead : shorter(sinceHead, connection.inputSilence());
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}
