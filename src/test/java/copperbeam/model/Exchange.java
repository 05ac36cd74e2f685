package copperbeam.model;

import copperbeam.Api.Report;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.Connector.AttemptCall;
import copperbeam.routing.Connector.Call;
import copperbeam.routing.Connector.CallListener;
import copperbeam.routing.Connector.ReleaseCall;
import java.time.Duration;

/** One call on a simulated connection ({@link Link}), and its answer. */
final class Exchange {
    private static final int WINDOW_BYTES = 32_767;
    private static final long RETRANSMIT_INTERVAL_NS = 20 * VirtualTime.NANOS_PER_MS;

    private final World world;
    private final Link link;
    private final CallListener listener;
    private final Call originalCall;
    final AttemptCall attemptCall; // null for probes and releases
    final ModelServer.Fault fault;
    Attempt attempt;
    private boolean listenerDone; // the listener has received its last notification
    private boolean lastByteSent;
    private long closeNoticedAt = Long.MAX_VALUE; // when the server notices that the connection was closed
    private boolean aborted; // closed with a TCP reset, so that a last byte still on its way is lost
    private long announcedDeadline = Long.MAX_VALUE; // end of the timeout that the server was told
    private long progressAt; // when the last event was received, or the window was extended that had been full
    private int unreadBytes; // received bytes for which the process has not yet extended the receive window again

    Exchange(Link link, Call call, CallListener listener) {
        world = link.world;
        this.link = link;
        this.originalCall = call;
        this.attemptCall = call instanceof AttemptCall a ? a : null;
        this.listener = listener;
        fault = this.attemptCall == null ? null : link.server.drawFault();
    }

    String requestId() {
        return attemptCall.spec().id();
    }

    double promptTokens() {
        return attemptCall.spec().promptTokens();
    }

    // ---- to the server -------------------------------------------------------------------------

    /** Sends the head of an attempt, or a whole probe or release. */
    void sendHead() {
        if (!link.isOpen()) {
            notifyBroken();
            return;
        }
        if (attemptCall == null) {
            if (originalCall instanceof ReleaseCall releaseCall) {
                link.sendToServer(() -> link.server.answerRelease(this, releaseCall.requestId()));
            } else {
                link.sendToServer(() -> link.server.answerProbe(this));
            }
            return;
        }
        if (!attemptCall.maySendHead().getAsBoolean()) {
            link.close();
            return;
        }
        ClientRequest request = world.requests.get(requestId());
        attempt = new Attempt(request, link.process, link.server, request.attempts.size());
        request.attempts.add(attempt);
        Duration announcedTimeout = attemptCall.timeLeft().get();
        announcedDeadline = world.time.now() + announcedTimeout.toNanos();
        world.log(
                request,
                "head of attempt " + attempt.number + " to " + link.server + " announces " + announcedTimeout.toMillis()
                        + " ms" + (attemptCall.holdLastByte() ? ", last byte held back" : "")
                        + (fault == null ? "" : ", will meet fault " + fault));
        world.notifyRules(rule -> rule.headSent(attempt, announcedTimeout));
        if (fault == ModelServer.Fault.RESET_BEFORE_LAST_BYTE && attemptCall.holdLastByte()) {
            link.resetByServer();
        }
        world.maybeDisconnectClient(request);
        if (attemptCall.holdLastByte()) {
            link.process.runOnReactor(world.drawReactorDelay(), () -> {
                if (link.isOpen() && !listenerDone) {
                    listener.lastByteHeld();
                }
            });
        } else {
            link.process.runOnReactor(world.random.nextInt(8) == 0 ? world.drawReactorDelay() : 0, this::sendLastByte);
        }
    }

    void sendLastByte() {
        if (!link.isOpen() || listenerDone || lastByteSent) {
            return;
        }
        if (!attemptCall.maySendLastByte().getAsBoolean()) {
            world.log(attempt.request, "last byte not sent, the attempt is no longer wanted");
            link.close();
            return;
        }
        lastByteSent = true;
        attempt.lastByteSentAt = world.time.now();
        world.log(attempt.request, "last byte of attempt " + attempt.number + " to " + link.server);
        world.notifyRules(r -> r.lastByteSent(attempt));
        listener.sent();
        world.maybeDisconnectClient(attempt.request);
        link.sendToServer(() -> {
            if (!aborted) {
                world.notifyRules(r -> r.lastByteArrived(attempt));
                link.server.receiveAttempt(this);
            }
        });
    }

    void onClosedByProcess(boolean withReset) {
        aborted = withReset;
        endAttempt(Attempt.Proof.NONE);
        deliverClose();
    }

    /** Notifies the server of a close, retransmitting while the server is unreachable. */
    private void deliverClose() {
        if (link.server.isReachableFrom(link.process)) {
            closeNoticedAt = Math.min(closeNoticedAt, world.time.now() + world.drawLatency());
        } else if (link.server.running) {
            world.time.runAfter(RETRANSMIT_INTERVAL_NS, this::deliverClose);
        }
    }

    void onClosedByServer() {
        closeNoticedAt = Math.min(closeNoticedAt, world.time.now());
    }

    boolean isClosedAtServer() {
        return world.time.now() >= closeNoticedAt;
    }

    /** The timeout that the process announced in the head has expired. */
    boolean isExpiredAtServer() {
        return world.time.now() >= announcedDeadline;
    }

    /** The call was closed or has expired at least {@code minAge} nanoseconds ago, so that the server has noticed. */
    boolean isAbandonedAtServer(long minAge) {
        return world.time.now() - minAge >= Math.min(closeNoticedAt, announcedDeadline);
    }

    // ---- from the server -----------------------------------------------------------------------

    void sendAnswer(AnswerKind kind, Report report, double keptTokens) {
        Attempt.Proof proof = kind == AnswerKind.TURNED_AWAY || kind == AnswerKind.STATE_MISSING
                ? Attempt.Proof.NEVER_RAN
                : Attempt.Proof.NONE;
        link.sendToProcess(() -> {
            if (!listenerDone) {
                if (attempt != null) {
                    world.log(attempt.request, "attempt " + attempt.number + " receives " + kind);
                }
                listener.answerClassified(kind, report);
            }
        });
        completeAnswer(keptTokens, proof);
    }

    void sendAnswerKind(AnswerKind kind, Report report) {
        link.sendToProcess(() -> {
            if (!listenerDone) {
                listener.answerClassified(kind, report);
            }
        });
    }

    void sendEvent(byte[] eventBytes) {
        link.sendToProcess(() -> {
            if (!listenerDone) {
                unreadBytes += eventBytes.length;
                progressAt = world.time.now();
                listener.event(eventBytes);
            }
        });
    }

    void completeAnswer(double keptTokens) {
        completeAnswer(keptTokens, Attempt.Proof.NONE);
    }

    private void completeAnswer(double keptTokens, Attempt.Proof proof) {
        boolean reusable = world.random.nextInt(10) > 0;
        link.sendToProcess(() -> {
            if (!listenerDone) {
                listenerDone = true;
                if (attempt != null) {
                    attempt.endReceivedAt = world.time.now();
                }
                endAttempt(proof);
                link.onAnswerComplete(this, reusable);
                listener.end(reusable, keptTokens);
            }
        });
    }

    void resetConnection() {
        link.resetByServer();
    }

    /** The process has learned that the connection is gone. */
    void onConnectionLost() {
        endAttempt(lastByteSent ? Attempt.Proof.NONE : Attempt.Proof.NEVER_RAN);
        notifyBroken();
    }

    void notifyBroken() {
        if (!listenerDone) {
            listenerDone = true;
            listener.broken(lastByteSent || attemptCall == null);
        }
    }

    private void endAttempt(Attempt.Proof proof) {
        if (attempt != null && attempt.endedAt < 0) {
            attempt.endedAt = world.time.now();
            attempt.proof = lastByteSent ? proof : Attempt.Proof.NEVER_RAN;
            world.log(attempt.request, "attempt " + attempt.number + " ended, proof " + attempt.proof);
            world.notifyRules(r -> r.attemptEnded(attempt));
        }
    }

    // ---- flow control ----------------------------------------------------------------------------

    int unreadBytes() {
        return unreadBytes;
    }

    void onWindowGranted(int bytes) {
        progressAt = unreadBytes > WINDOW_BYTES ? world.time.now() : progressAt;
        unreadBytes -= bytes;
    }

    Duration withoutProgress() {
        return Duration.ofNanos(unreadBytes > WINDOW_BYTES ? 0 : world.time.now() - progressAt);
    }
}
