package copperbeam.model;

import copperbeam.Api;
import copperbeam.Api.Report;
import copperbeam.routing.Connector;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.ResponseSink;
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
    private static final long DEADLINE_MARGIN_NS = 50 * VirtualTime.NANOS_PER_MS;

    private final World world;
    private final ModelProcess process;
    private final Network network;

    ReferencePolicy(World world, ModelProcess process) {
        this.world = world;
        this.process = process;
        network = new Network(world, process);
    }

    void submit(ClientRequest request) {
        RequestRun requestRun = new RequestRun(request);
        long giveUpAt = world.time.toNanos(request.spec.deadline()) - DEADLINE_MARGIN_NS;
        process.runOnReactor(giveUpAt - world.time.now(), () -> {
            if (request.streamingSince < 0 && !request.isOver()) {
                requestRun.closeConnection();
                request.fail(ResponseSink.Failure.TOO_LATE);
            }
        });
        requestRun.startAttempt();
    }

    /** Takes one request through its attempts at readers and writers. */
    private final class RequestRun {
        private final ClientRequest request;
        private int attemptCount;
        private boolean hasReadState;
        private Connector.Connection connection;

        RequestRun(ClientRequest request) {
            this.request = request;
        }

        void closeConnection() {
            if (connection != null) {
                connection.close();
            }
        }

        private Optional<ModelServer> chooseServer() {
            Api.Settings settings = world.settings.moduleSettings();
            boolean isLastAttempt = attemptCount + 1 >= settings.limits().maxAttempts();
            boolean mustAnswer = hasReadState || isLastAttempt;
            return world.listedServers().stream()
                    .filter(s -> s.state == Api.ServerState.READY && s.isReachableFrom(process) && !s.isHung())
                    .filter(s -> s.faultChance < 1 || world.random.nextInt(4) == 0)
                    .filter(s -> mustAnswer
                            ? s.role == Api.Role.MIXED
                                    || s.role == Api.Role.WRITER && (hasReadState || settings.writersRead())
                            : s.role != Api.Role.WRITER)
                    .min(Comparator.comparingDouble(s -> s.queueDelayS() / s.capacityShare()));
        }

        void startAttempt() {
            if (request.isOver() || request.streamingSince >= 0) {
                return;
            }
            boolean unsafe =
                    world.settings.requestClass(request.spec.requestClass()).repeats() != Api.Repeats.SAFE;
            boolean mayHaveRun = request.attempts.stream().anyMatch(Attempt::mayHaveRun);
            if (attemptCount >= world.settings.moduleSettings().limits().maxAttempts() || mayHaveRun && unsafe) {
                request.fail(ResponseSink.Failure.SERVERS_FAILED);
                return;
            }
            Optional<ModelServer> server = chooseServer();
            if (server.isEmpty()) {
                process.runOnReactor(20 * VirtualTime.NANOS_PER_MS, this::startAttempt);
                return;
            }
            attemptCount++;
            Duration timeout = world.settings.connectTimeout();
            network.connect(
                    new InetSocketAddress("127.0.0.1", server.get().port), timeout, new Connector.ConnectionListener() {
                        @Override
                        public void connected(Connector.Connection opened) {
                            if (request.isOver()) {
                                opened.close();
                            } else {
                                connection = opened;
                                sendAttempt(opened, server.get().role == Api.Role.READER);
                            }
                        }

                        @Override
                        public void connectFailed() {
                            startAttempt();
                        }

                        @Override
                        public void closed(Connector.Connection closed) {}
                    });
        }

        private void sendAttempt(Connector.Connection opened, boolean reads) {
            Duration remaining = Duration.between(world.time.instant(), request.spec.deadline());
            Connector.Call call = new Connector.AttemptCall(
                    request.spec, reads, () -> remaining, Duration.ZERO, false, () -> true, () -> !request.isOver());
            opened.call(call, new Connector.CallListener() {
                private AnswerKind answerKind;

                @Override
                public void sent() {}

                @Override
                public void lastByteHeld() {}

                @Override
                public void answerClassified(AnswerKind kind, Report report) {
                    answerKind = kind;
                    if (kind == AnswerKind.STREAM && !request.isOver()) {
                        request.begin();
                    }
                }

                @Override
                public void event(byte[] eventBytes) {
                    request.event(eventBytes, () -> opened.grant(eventBytes.length));
                }

                @Override
                public void end(boolean reusable, double keptTokens) {
                    opened.close();
                    if (answerKind == AnswerKind.STREAM && !request.isOver()) {
                        request.end();
                    } else {
                        hasReadState =
                                answerKind == AnswerKind.READ || hasReadState && answerKind != AnswerKind.STATE_MISSING;
                        startAttempt();
                    }
                }

                @Override
                public void broken(boolean lastByteMayHaveLeft) {
                    opened.close();
                    if (answerKind == AnswerKind.STREAM && !request.isOver()) {
                        request.broken();
                    } else {
                        startAttempt();
                    }
                }
            });
        }
    }
}
