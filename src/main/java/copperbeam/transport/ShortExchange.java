package copperbeam.transport;

import copperbeam.Api.Report;
import copperbeam.protocol.platform.PlatformHeaders;
import copperbeam.protocol.platform.PlatformStatus;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.Connector.CallListener;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;

/** A probe or a release. */
final class ShortExchange extends ClientExchange {
    private final CallListener listener;
    private final boolean isProbe;
    private AnswerKind answerKind;
    private Report report;

    ShortExchange(HttpRequest request, CallListener listener, boolean isProbe) {
        super(request, null);
        this.listener = listener;
        this.isProbe = isProbe;
    }

    @Override
    void head(HttpResponse response) {
        int status = response.getCode();
        answerKind = isProbe ? PlatformStatus.classifyProbe(status) : PlatformStatus.classifyRelease(status);
        report = PlatformHeaders.parseReport(AttemptExchange.headerValue(response, "X-Server-Load"));
    }

    @Override
    void data(ByteBuffer bytes) {
        gather(bytes);
    }

    @Override
    void completed(boolean reusable) {
        if (isProbe && answerKind == AnswerKind.HEARD) {
            Report bodyReport = PlatformHeaders.parseReport(
                    gathered().replaceFirst("(?i)^\\s*X-Server-Load:", "").strip());
            report = bodyReport == null ? report : bodyReport;
        }
        listener.answerClassified(answerKind, report);
        listener.end(reusable, Double.NaN);
    }

    @Override
    void broken(boolean mayHaveRun) {
        listener.broken(mayHaveRun);
    }
}
