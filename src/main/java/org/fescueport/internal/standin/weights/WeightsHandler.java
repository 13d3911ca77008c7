package org.fescueport.internal.standin.weights;

import io.micrometer.core.instrument.Clock;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.http.ResponseStream;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;
import org.fescueport.internal.standin.RateLimit;

/** HTTP form of the stand-in for the weight store, whose readers share one rate. */
public final class WeightsHandler implements HttpHandler {
    private static final Pattern ARTIFACT = Pattern.compile("/v1/artifacts/([^/]+)(/data)?");
    private static final int PIECE_BYTES = 64 * 1024;
    private static final long RETRY_MILLIS = 5;

    private final long mArtifactBytes;
    private final FaultSwitch mFaults;
    private final ScheduledExecutorService mExecutor;
    private final RateLimit mRate;

    private WeightsHandler(
            long artifactBytes,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults) {
        mArtifactBytes = artifactBytes;
        mFaults = faults;
        mExecutor = executor;
        mRate = RateLimit.create(clock, 0);
    }

    /** Returns a store in which each artifact has {@code artifactBytes}. */
    public static WeightsHandler create(
            long artifactBytes,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults) {
        return new WeightsHandler(artifactBytes, clock, executor, faults);
    }

    @Override
    public void handle(HttpExchange exchange) {
        var path = ARTIFACT.matcher(exchange.path());
        if (!path.matches() || !exchange.method().equals("GET")) {
            Json.respondError(exchange, 404, "not_found", "no such path");
        } else if (path.group(2) == null) {
            Json.respond(exchange, 200, Json.object().put("bytes", mArtifactBytes));
        } else {
            send(exchange);
        }
    }

    private void send(HttpExchange exchange) {
        var stream = exchange.stream(200, Map.of("Content-Type", "application/octet-stream"));
        var download = new Download(stream, mArtifactBytes);
        exchange.onAbort(() -> download.mAborted = true);
        mExecutor.execute(() -> sendPiece(download));
    }

    private void sendPiece(Download download) {
        if (download.mAborted) {
            return;
        }
        if (download.mLeft == 0) {
            download.mStream.end();
            return;
        }
        int piece = (int) Math.min(PIECE_BYTES, download.mLeft);
        if (mRate.tryTake(piece, mFaults.current().bytesPerSecond())) {
            download.mStream.write(new byte[piece]);
            download.mLeft -= piece;
            mExecutor.execute(() -> sendPiece(download));
        } else {
            mExecutor.schedule(() -> sendPiece(download), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static final class Download {
        private final ResponseStream mStream;
        private long mLeft;
        private volatile boolean mAborted;

        private Download(ResponseStream stream, long left) {
            mStream = stream;
            mLeft = left;
        }
    }
}
