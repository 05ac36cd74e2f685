package copperbeam.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Handles one connection's events on the reactor's thread. Only {@link #startExchange} and {@link #runAfterReading} are
 * called from other threads.
 */
final class ResponseHandler extends ClientHttp1IOEventHandler {
    private static final int MAX_TURNS_TO_READ_ALL =
            64; // of ResponseDuplexer.MAX_READ_BYTES_PER_TURN each, before the task of runAfterReading runs

    private final ResponseDuplexer duplexer;
    private final BoundedParser<HttpResponse> parser;
    private final ProtocolIOSession session;
    private final ClientReactor.SessionListener listener;
    private final Duration headTimeout;
    private final AtomicReference<Runnable> afterReading = new AtomicReference<>();
    private final Queue<Runnable> outputTasks = new ConcurrentLinkedQueue<>();
    private Long headProgressNanos; // System.nanoTime when a partial head last grew; null if there is none
    private long headProgressBytes; // receivedBytes() at that time
    private Timeout usualTimeout;
    private boolean closeReported;
    private boolean reused; // the connection has carried a call before

    ResponseHandler(
            ResponseDuplexer duplexer,
            BoundedParser<HttpResponse> parser,
            ProtocolIOSession session,
            ClientReactor.SessionListener listener,
            ResponseLimits limits) {
        super(duplexer);
        this.duplexer = duplexer;
        this.parser = parser;
        this.session = session;
        this.listener = listener;
        headTimeout = limits.headTimeout();
    }

    void startExchange(ClientExchange next) {
        next.attach(duplexer::hasBufferedOutput, reused);
        reused = true;
        duplexer.exchange = next;
    }

    /** Runs the task as {@link ClientReactor#runAfterReading} says; callable from any thread. */
    void runAfterReading(Runnable task) {
        afterReading.set(task);
        session.setEvent(SelectionKey.OP_WRITE); // the reactor handles it after pending input
        if (!session.isOpen()) {
            runAfterReadingTask();
        }
    }

    /** Runs the task when the connection is next found writable, or has closed; callable from any thread. */
    void runAtOutput(Runnable task) {
        outputTasks.add(task);
        session.setEvent(SelectionKey.OP_WRITE);
        if (!session.isOpen()) {
            runOutputTasks();
        }
    }

    private void runOutputTasks() {
        for (int tasksLeft = outputTasks.size(); tasksLeft > 0; tasksLeft--) {
            Runnable task = outputTasks.poll();
            if (task != null) {
                task.run();
            }
        }
    }

    private void runAfterReadingTask() {
        Runnable task = afterReading.getAndSet(null);
        if (task != null) {
            task.run();
        }
    }

    private void readAvailable(IOSession ioSession) throws IOException {
        long bytesBefore = -1;
        for (int turn = 0;
                turn < MAX_TURNS_TO_READ_ALL && ioSession.isOpen() && bytesBefore != receivedBytes();
                turn++) {
            bytesBefore = receivedBytes();
            inputReady(ioSession, null);
        }
    }

    private long receivedBytes() {
        return duplexer.getEndpointDetails().getReceivedBytesCount();
    }

    @Override
    public void inputReady(IOSession ioSession, ByteBuffer bytes) throws IOException {
        duplexer.readBudget.reset();
        try {
            long bytesBefore = receivedBytes();
            super.inputReady(ioSession, bytes);
            if (duplexer.deferredError() != null) {
                throw duplexer.deferredError();
            }
            ClientExchange current = duplexer.exchange;
            if (current != null && receivedBytes() != bytesBefore) {
                current.bytesRead();
            }
            if (parser.isPartial() && (current == null || current.isEnded())) {
                failUnsolicitedHead(ioSession);
            }
            checkHeadTimeout();
        } catch (Error e) {
            throw ReactorErrors.logAndWrap(e);
        } finally {
            reportEnded();
        }
    }

    @Override
    public void outputReady(IOSession ioSession) throws IOException {
        try {
            writeOutput(ioSession);
        } finally {
            runOutputTasks(); // last, as HttpCore stops waiting for output once it has none
        }
    }

    private void writeOutput(IOSession ioSession) throws IOException {
        if (afterReading.get() != null) {
            try {
                readAvailable(ioSession);
            } finally {
                runAfterReadingTask();
            }
        }
        ClientExchange current = duplexer.exchange;
        if (current != null && current.mustWithholdLastByte()) {
            exception(ioSession, new IOException("the last byte of the request may no longer be sent"));
            return;
        }
        if (current != null && current.isHeldByteNext()) {
            // Reads what has arrived since the select: if the server has closed the connection, the held byte must
            // not be sent.
            inputReady(ioSession, null);
            if (ioSession.isOpen() && parser.isPartial()) {
                failUnsolicitedHead(ioSession);
            }
            if (!ioSession.isOpen()) {
                return;
            }
        }
        if (current != null && current.answeredEarly()) {
            ioSession.clearEvent(SelectionKey.OP_WRITE);
            return;
        }
        try {
            super.outputReady(ioSession);
            ClientExchange last = duplexer.exchange;
            if (last != null) {
                last.afterOutput();
            }
        } catch (Error e) {
            throw ReactorErrors.logAndWrap(e);
        } finally {
            reportEnded();
        }
    }

    @Override
    public void timeout(IOSession ioSession, Timeout timeout) throws IOException {
        if (headProgressNanos != null && !isHeadOverdue()) {
            return; // HttpCore uses the wall clock, which may have stepped
        }
        try {
            super.timeout(ioSession, timeout);
        } catch (Error e) {
            throw ReactorErrors.logAndWrap(e);
        } finally {
            reportEnded();
        }
    }

    @Override
    public void exception(IOSession ioSession, Exception cause) {
        ReactorErrors.contain(ioSession, () -> super.exception(ioSession, cause));
        ReactorErrors.contain(ioSession, this::reportEnded);
    }

    @Override
    public void disconnected(IOSession ioSession) {
        ReactorErrors.contain(ioSession, () -> super.disconnected(ioSession));
        ReactorErrors.contain(ioSession, this::reportEnded);
    }

    /**
     * Closes a connection on which a partial head arrived while no response is due. The next response on it would be read
     * as the rest of that head, and its attempt would fail.
     */
    private void failUnsolicitedHead(IOSession ioSession) {
        exception(ioSession, new IOException("partial response head without a request"));
    }

    /**
     * Enforces the time limit on pauses within a response head. Without it an attempt would wait until its client gives up. A head
     * that comes slowly is limited by its attempt's own time.
     */
    private void checkHeadTimeout() {
        if (!parser.isPartial()) {
            if (headProgressNanos != null) {
                headProgressNanos = null;
                session.setSocketTimeout(usualTimeout);
            }
        } else if (headProgressNanos == null) {
            noteHeadProgress();
            usualTimeout = session.getSocketTimeout();
            session.setSocketTimeout(Timeout.of(headTimeout));
        } else if (headProgressBytes != receivedBytes()) {
            noteHeadProgress();
        } else if (isHeadOverdue()) {
            exception(session, new IOException("response head not complete in time"));
        }
    }

    private void noteHeadProgress() {
        headProgressNanos = System.nanoTime();
        headProgressBytes = receivedBytes();
    }

    private boolean isHeadOverdue() {
        return headProgressNanos != null && System.nanoTime() - headProgressNanos > headTimeout.toNanos();
    }

    /**
     * Reports an exchange or a connection that has ended. Called only after all available input was read, because HttpCore
     * closes the connection if anything follows the response, and such a connection must not be used again. HttpCore
     * doesn't report a connection that was closed by a reset, so this is checked here.
     */
    private void reportEnded() {
        boolean connectionOpen = session.isOpen();
        ClientExchange last = duplexer.exchange;
        if (last != null && last.isEnded()) {
            duplexer.exchange = null; // an idle connection keeps nothing of it
            if (last.answeredEarly()) {
                session.close(CloseMode.IMMEDIATE); // now, as the next turn would send the rest of the request
                connectionOpen = false;
            }
            last.reportCompletion(connectionOpen && !duplexer.readBudget.isSpent());
        }
        if (!connectionOpen && !closeReported) {
            closeReported = true;
            listener.closed();
            runAfterReadingTask();
            runOutputTasks();
        }
    }
}
