package copperbeam.routing;

import copperbeam.Api.Report;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Opens connections to servers; implemented by the transport. */
public interface Connector {
    /**
     * Opens a connection. Calls exactly one of {@code connected} and {@code connectFailed} on the listener, and
     * {@code closed} once for a connection that was established. A connect that takes longer than {@code timeout} may be ended
     * later than that: for a timer of the caller's own there is {@link #afterConnects}.
     */
    void connect(InetSocketAddress address, Duration timeout, ConnectionListener listener);

    /**
     * Runs {@code then} once the connections that are established by now were passed to their listeners, however late this process
     * is in that.
     */
    default void afterConnects(Runnable then) {
        then.run();
    }

    /** Notified when a connection opens, fails to open or closes. */
    interface ConnectionListener {
        void connected(Connection connection);

        void connectFailed();

        void closed(Connection connection);
    }

    /** An established connection, which carries one call at a time. */
    interface Connection {
        boolean isOpen();

        void call(Call call, CallListener listener);

        /** Sends the last byte of a call that was held back ({@link AttemptCall#holdLastByte}). */
        void sendLastByte();

        /** Flow control: extends the receive window, so that the server may send {@code bytes} more. */
        void grant(int bytes);

        /** How long no byte of the current answer has come; very long if that isn't known. */
        default Duration inputSilence() {
            return ChronoUnit.FOREVER.getDuration();
        }

        /**
         * How long nothing has come that brings the current stream nearer to its next event or its end. Zero while the server is
         * stopped by flow control, as its client does not read, and while there is no call.
         */
        Duration withoutProgress();

        /**
         * Runs {@code then} after everything the server has sent by now was read and passed to the listener, as far as
         * the receive window allows.
         */
        void readOut(Runnable then);

        /** The last call has ended, and no other has begun: gives up what the connection keeps of it. */
        default void callEnded() {}

        void close();

        /**
         * Closes the connection with a TCP reset, so that what the kernel has buffered of the call is discarded. This is
         * certain once {@link #released} is true.
         */
        void abort();

        /** After {@link #close} or {@link #abort}: whether the socket is closed, which a busy transport does later. */
        default boolean released() {
            return true;
        }
    }

    /** A request to send on a connection. */
    sealed interface Call permits AttemptCall, ProbeCall, ReleaseCall {}

    /**
     * One attempt of a client's request. The suppliers are called on the transport's thread.
     *
     * @param atReader the server acts as a reader, and only a reader's answer is valid
     * @param timeLeft the remaining timeout; evaluated when the head is sent, and again when the last byte is
     * @param timeoutMargin by how much the server is told less than {@code timeLeft}, so that the last byte may be sent that much
     *     later than the head
     * @param holdLastByte hold back the last byte until {@link Connection#sendLastByte}; if the connection ends before
     *     that, nothing has run
     * @param maySendHead evaluated before the head is sent; if false, the connection is broken instead
     * @param maySendLastByte the same for the last byte
     */
    record AttemptCall(
            RequestSpec spec,
            boolean atReader,
            Supplier<Duration> timeLeft,
            Duration timeoutMargin,
            boolean holdLastByte,
            BooleanSupplier maySendHead,
            BooleanSupplier maySendLastByte)
            implements Call {}

    /** A health probe. */
    record ProbeCall() implements Call {}

    /** Asks the server to release the read state that belongs to the request with this id. */
    record ReleaseCall(String requestId) implements Call {}

    /**
     * What a server's answer means. READ: the read is complete, and the server holds its state; TURNED_AWAY: the server did not
     * run the request; STATE_MISSING: the same, because it found no read state to write from; HEARD: a probe or a release
     * was confirmed.
     */
    enum AnswerKind {
        STREAM,
        READ,
        TURNED_AWAY,
        STATE_MISSING,
        ERROR,
        HEARD
    }

    /** Receives the progress of a call, in order; the last notification is {@code end} or {@code broken}. */
    interface CallListener {
        /** The whole request was written to the connection. */
        void sent();

        /** All but the last byte was sent, which is held back. */
        void lastByteHeld();

        /**
         * The kind of the answer is known: for an attempt with the head of the answer, else with its end. {@code report}
         * may be null.
         */
        void answerClassified(AnswerKind kind, Report report);

        /**
         * Bytes of an answer have come of which nothing was reported yet, and it isn't complete. Reported again while more come, but
         * not with each of them.
         */
        default void answerProgress() {}

        /** One complete event of a stream, including the blank line that terminates it. */
        void event(byte[] eventBytes);

        /**
         * The answer is complete.
         *
         * @param reusable whether the connection can carry another call
         * @param cachedTokens how many tokens of the prompt a read found in the server's cache, NaN if unknown
         */
        void end(boolean reusable, double cachedTokens);

        /**
         * The connection ended before the answer was complete, or the answer is malformed or only a part of one; the connection
         * may then still be open, and must be closed. {@code lastByteMayHaveLeft}: the server may have the whole
         * request, and may have run it.
         */
        void broken(boolean lastByteMayHaveLeft);
    }
}
