package copperbeam.routing;

import copperbeam.Api.Report;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Outgoing connections, as the transport makes them. */
public interface Connector {
    /** Calls exactly one of the watcher's first two, then {@code closed} once for a connection that was up. */
    void connect(InetSocketAddress to, Duration timeout, Watcher watcher);

    /** Is told of a connection as it opens and closes. */
    interface Watcher {
        void up(Connection connection);

        void failed();

        void closed(Connection connection);
    }

    /** Carries one call at a time. */
    interface Connection {
        boolean isOpen();

        void call(Call call, Listener listener);

        /** Lets the last byte of a held call go. */
        void let();

        /** Lets the server send so many bytes more. */
        void grant(int bytes);

        /** The server has sent all that it may, as what it sent has not been taken. */
        boolean heldBack();

        /** Runs {@code read} once what the server has sent by now was read and told, as far as the window goes. */
        void readOut(Runnable read);

        void close();

        /** The same with a reset, so that what the system still has of the call does not leave once it is {@link #released}. */
        void abort();

        /** After {@link #abort}: the system has let go of the connection, and nothing of the call can leave it any more. */
        default boolean released() {
            return true;
        }
    }

    /** What a connection is asked to carry. */
    sealed interface Call permits AttemptCall, ProbeCall, ReleaseCall {}

    /**
     * {@code reads}: its server is a reader, and only a reader's answer is one. {@code patience}: how long we shall wait,
     * as the server is told; asked on the transport's thread as the head leaves. {@code hold}: its last byte stays here
     * until it is let go, so that a connection that ends first proves that nothing ran. {@code mayBegin}: asked there
     * before the head leaves, {@code wanted} as the last byte does; where one says no, the connection is broken instead.
     */
    record AttemptCall(
            Ask ask,
            boolean reads,
            Supplier<Duration> patience,
            boolean hold,
            BooleanSupplier mayBegin,
            BooleanSupplier wanted)
            implements Call {}

    /** A health probe. */
    record ProbeCall() implements Call {}

    /** A release of the read state that belongs to the request with this id. */
    record ReleaseCall(String id) implements Call {}

    /** What a server's answer means. */
    enum Word {
        STREAM,
        READ,
        TURNED_AWAY,
        STATE_MISSING,
        ERROR,
        HEARD
    }

    /** Called by the transport, in order; the last is {@code end} or {@code broken}. */
    interface Listener {
        /** The request's last byte was handed to the connection. */
        void sent();

        /** Of a held call only the last byte is left. */
        void held();

        /** {@code report} may be null. */
        void word(Word word, Report report);

        /** One whole event of a stream, its closing blank line included. */
        void event(byte[] raw);

        /**
         * The answer is whole; {@code reusable}: the connection can carry another call. {@code kept}: so many tokens of
         * the prompt had a read found, NaN where nothing tells.
         */
        void end(boolean reusable, double kept);

        /** {@code written}: the request's last byte may have left. */
        void broken(boolean written);
    }
}
