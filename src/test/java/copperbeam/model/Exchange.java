package copperbeam.model;

import copperbeam.Api.Report;
import copperbeam.routing.Connector.AttemptCall;
import copperbeam.routing.Connector.Call;
import copperbeam.routing.Connector.Listener;
import copperbeam.routing.Connector.ReleaseCall;
import copperbeam.routing.Connector.Word;
import java.time.Duration;

/** One call on a simulated {@link Link}, and its answer. */
final class Exchange {
    private static final long RETRANSMIT = 20 * VirtualTime.MILLI;

    private final World world;
    private final Link link;
    private final Listener listener;
    private final Call plain;
    final AttemptCall call; // null for probes and releases
    final ModelServer.Fault fault;
    Attempt attempt;
    private boolean over; // the listener has received its last notification
    private boolean lastByteLeft;
    private long closedAt = Long.MAX_VALUE; // when the server notices that the connection was closed
    private boolean aborted; // closed with a TCP reset, so that a last byte still on its way is lost
    private long toldUntil = Long.MAX_VALUE; // end of the timeout that the server was told
    private int unread; // received bytes for which the process has not yet extended the receive window again

    Exchange(Link link, Call call, Listener listener) {
        world = link.world;
        this.link = link;
        this.plain = call;
        this.call = call instanceof AttemptCall a ? a : null;
        this.listener = listener;
        fault = this.call == null ? null : link.server.drawFault();
    }

    String requestId() {
        return call.ask().id();
    }

    double tokens() {
        return call.ask().promptTokens();
    }

    // ---- to the server -------------------------------------------------------------------------

    /** Sends the head of an attempt, or a whole probe or release. */
    void leave() {
        if (!link.isOpen()) {
            toldBroken();
            return;
        }
        if (call == null) {
            if (plain instanceof ReleaseCall r) {
                link.toServer(() -> link.server.release(this, r.id()));
            } else {
                link.toServer(() -> link.server.probe(this));
            }
            return;
        }
        if (!call.mayBegin().getAsBoolean()) {
            link.close();
            return;
        }
        ClientRequest request = world.requests.get(requestId());
        attempt = new Attempt(request, link.process, link.server, request.attempts.size());
        request.attempts.add(attempt);
        Duration told = call.patience().get();
        toldUntil = world.time.now() + told.toNanos();
        world.log(
                request,
                "head of attempt " + attempt.number + " to " + link.server + " announces " + told.toMillis() + " ms"
                        + (call.hold() ? ", last byte held back" : "") + (fault == null ? "" : ", will meet fault " + fault));
        world.rules(r -> r.headLeft(attempt, told));
        if (fault == ModelServer.Fault.RESET_BEFORE_LAST_BYTE && call.hold()) {
            link.serverResets();
        }
        world.clientMayLeaveNow(request);
        if (call.hold()) {
            link.process.reactor(world.reactorTurn(), () -> {
                if (link.isOpen() && !over) {
                    listener.held();
                }
            });
        } else {
            link.process.reactor(world.random.nextInt(8) == 0 ? world.reactorTurn() : 0, this::lastByte);
        }
    }

    void lastByte() {
        if (!link.isOpen() || over || lastByteLeft) {
            return;
        }
        if (!call.wanted().getAsBoolean()) {
            world.log(attempt.request, "last byte not sent, the attempt is no longer wanted");
            link.close();
            return;
        }
        lastByteLeft = true;
        attempt.lastByteAt = world.time.now();
        world.log(attempt.request, "last byte of attempt " + attempt.number + " to " + link.server);
        world.rules(r -> r.lastByteLeft(attempt));
        listener.sent();
        world.clientMayLeaveNow(attempt.request);
        link.toServer(() -> {
            if (!aborted) {
                world.rules(r -> r.lastByteArrived(attempt));
                link.server.attempt(this);
            }
        });
    }

    void closedByProcess(boolean abort) {
        aborted = abort;
        attemptOver(Attempt.Proof.NONE);
        tellClose();
    }

    /** Notifies the server of a close, retransmitting while the server is unreachable. */
    private void tellClose() {
        if (link.server.reachable(link.process)) {
            closedAt = Math.min(closedAt, world.time.now() + world.latency());
        } else if (link.server.running) {
            world.time.after(RETRANSMIT, this::tellClose);
        }
    }

    void closedByServer() {
        closedAt = Math.min(closedAt, world.time.now());
    }

    boolean closedAtServer() {
        return world.time.now() >= closedAt;
    }

    /** The timeout that the process announced in the head has expired. */
    boolean overAtServer() {
        return world.time.now() >= toldUntil;
    }

    /** The call was closed or has expired at least {@code minAge} nanoseconds ago, so that the server has noticed. */
    boolean goneAtServer(long since) {
        return world.time.now() - since >= Math.min(closedAt, toldUntil);
    }

    // ---- from the server -----------------------------------------------------------------------

    void answer(Word word, Report report, double kept) {
        Attempt.Proof proof =
                word == Word.TURNED_AWAY || word == Word.STATE_MISSING ? Attempt.Proof.NEVER_RAN : Attempt.Proof.NONE;
        link.toProcess(() -> {
            if (!over) {
                if (attempt != null) {
                    world.log(attempt.request, "attempt " + attempt.number + " receives " + word);
                }
                listener.word(word, report);
            }
        });
        end(kept, proof);
    }

    void word(Word word, Report report) {
        link.toProcess(() -> {
            if (!over) {
                listener.word(word, report);
            }
        });
    }

    void event(byte[] raw) {
        link.toProcess(() -> {
            if (!over) {
                unread += raw.length;
                listener.event(raw);
            }
        });
    }

    void end(double kept) {
        end(kept, Attempt.Proof.NONE);
    }

    private void end(double kept, Attempt.Proof proof) {
        boolean reusable = world.random.nextInt(10) > 0;
        link.toProcess(() -> {
            if (!over) {
                over = true;
                if (attempt != null) {
                    attempt.endHeardAt = world.time.now();
                }
                attemptOver(proof);
                link.done(this, reusable);
                listener.end(reusable, kept);
            }
        });
    }

    void reset() {
        link.serverResets();
    }

    /** The process has learned that the connection is gone. */
    void broken() {
        attemptOver(lastByteLeft ? Attempt.Proof.NONE : Attempt.Proof.NEVER_RAN);
        toldBroken();
    }

    void toldBroken() {
        if (!over) {
            over = true;
            listener.broken(lastByteLeft || call == null);
        }
    }

    private void attemptOver(Attempt.Proof proof) {
        if (attempt != null && attempt.overAt < 0) {
            attempt.overAt = world.time.now();
            attempt.proof = lastByteLeft ? proof : Attempt.Proof.NEVER_RAN;
            world.log(attempt.request, "attempt " + attempt.number + " ended, proof " + attempt.proof);
            world.rules(r -> r.attemptOver(attempt));
        }
    }

    // ---- flow control ----------------------------------------------------------------------------

    int unread() {
        return unread;
    }

    void granted(int bytes) {
        unread -= bytes;
    }

    boolean heldBack() {
        return unread > 32_767;
    }
}
