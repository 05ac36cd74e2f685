package copperbeam.model;

import copperbeam.Api;
import copperbeam.Api.Report;
import copperbeam.routing.Answer;
import copperbeam.routing.Connector;
import copperbeam.routing.Connector.Word;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;

/**
 * A simple policy that sees the true state of the servers, for comparison: it sends to the working server with the shortest
 * expected delay, makes one attempt after another as far as the settings allow, and fails a request only at its deadline or
 * when no further attempt is allowed.
 */
final class ReferencePolicy {
    private static final long MARGIN = 50 * VirtualTime.MILLI;

    private final World world;
    private final ModelProcess process;
    private final Network network;

    ReferencePolicy(World world, ModelProcess process) {
        this.world = world;
        this.process = process;
        network = new Network(world, process);
    }

    void arrive(ClientRequest request) {
        Run run = new Run(request);
        long end = world.time.nanos(request.ask.deadline()) - MARGIN;
        process.reactor(end - world.time.now(), () -> {
            if (request.streamingSince < 0 && !request.over()) {
                run.stop();
                request.fail(Answer.Failure.TOO_LATE);
            }
        });
        run.next();
    }

    /** Takes one request through its attempts at readers and writers. */
    private final class Run {
        private final ClientRequest request;
        private int tries;
        private boolean read;
        private Connector.Connection connection;

        Run(ClientRequest request) {
            this.request = request;
        }

        void stop() {
            if (connection != null) {
                connection.close();
            }
        }

        private Optional<ModelServer> choose() {
            Api.Settings settings = world.settings.settings();
            boolean last = tries + 1 >= settings.limits().maxAttempts();
            boolean direct = read || last;
            return world.listed().stream()
                    .filter(s -> s.state == Api.ServerState.READY && s.reachable(process) && !s.hung())
                    .filter(s -> s.faultChance < 1 || world.random.nextInt(4) == 0)
                    .filter(s -> direct
                            ? s.role == Api.Role.MIXED || s.role == Api.Role.WRITER && (read || settings.writersRead())
                            : s.role != Api.Role.WRITER)
                    .min(Comparator.comparingDouble(s -> s.trueDelayS() / s.warmth()));
        }

        void next() {
            if (request.over() || request.streamingSince >= 0) {
                return;
            }
            boolean unsafe =
                    world.settings.requestClass(request.ask.requestClass()).effect() != Api.Effect.SAFE;
            boolean ran = request.attempts.stream().anyMatch(Attempt::mayHaveRun);
            if (tries >= world.settings.settings().limits().maxAttempts() || ran && unsafe) {
                request.fail(Answer.Failure.SERVERS_FAILED);
                return;
            }
            Optional<ModelServer> server = choose();
            if (server.isEmpty()) {
                process.reactor(20 * VirtualTime.MILLI, this::next);
                return;
            }
            tries++;
            Duration timeout = world.settings.connectTimeout();
            network.connect(new InetSocketAddress("127.0.0.1", server.get().port), timeout, new Connector.Watcher() {
                @Override
                public void up(Connector.Connection up) {
                    if (request.over()) {
                        up.close();
                    } else {
                        connection = up;
                        call(up, server.get().role == Api.Role.READER);
                    }
                }

                @Override
                public void failed() {
                    next();
                }

                @Override
                public void closed(Connector.Connection closed) {}
            });
        }

        private void call(Connector.Connection up, boolean reads) {
            Duration left = Duration.between(world.time.instant(), request.ask.deadline());
            Connector.Call call =
                    new Connector.AttemptCall(request.ask, reads, () -> left, false, () -> true, () -> !request.over());
            up.call(call, new Connector.Listener() {
                private Word word;

                @Override
                public void sent() {}

                @Override
                public void held() {}

                @Override
                public void word(Word heard, Report report) {
                    word = heard;
                    if (heard == Word.STREAM && !request.over()) {
                        request.begin();
                    }
                }

                @Override
                public void event(byte[] raw) {
                    request.event(raw, () -> up.grant(raw.length));
                }

                @Override
                public void end(boolean reusable, double kept) {
                    up.close();
                    if (word == Word.STREAM && !request.over()) {
                        request.end();
                    } else {
                        read = word == Word.READ || read && word != Word.STATE_MISSING;
                        next();
                    }
                }

                @Override
                public void broken(boolean written) {
                    up.close();
                    if (word == Word.STREAM && !request.over()) {
                        request.broken();
                    } else {
                        next();
                    }
                }
            });
        }
    }
}
