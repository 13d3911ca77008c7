package org.fescueport.internal.standin.log;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.Clock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;
import org.fescueport.internal.standin.RateLimit;

/** HTTP form of the stand-in for the platform's append-only log. */
public final class LogHandler implements HttpHandler {
    private static final Pattern RECORDS = Pattern.compile("/v1/streams/([^/]+)/records");
    private static final int MOST_STREAMS = 10_000;
    private static final int DEFAULT_PAGE = 100;

    private final Clock mClock;
    private final FaultSwitch mFaults;
    private final RateLimit mAppendLimit;
    private final ConcurrentHashMap<String, RecordStream> mStreams = new ConcurrentHashMap<>();
    private final AtomicLong mAppends = new AtomicLong();
    private final AtomicLong mRecords = new AtomicLong();
    private final AtomicLong mRefused = new AtomicLong();
    private final AtomicLong mReads = new AtomicLong();

    private LogHandler(Clock clock, FaultSwitch faults) {
        mClock = clock;
        mFaults = faults;
        mAppendLimit = RateLimit.create(clock, faults.current().appendLimitPerSecond());
    }

    /** Returns an empty log. */
    public static LogHandler create(Clock clock, FaultSwitch faults) {
        return new LogHandler(clock, faults);
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            route(exchange);
        } catch (BadRequestException e) {
            Json.respondError(exchange, 400, "not_appended", e.getMessage());
        }
    }

    private void route(HttpExchange exchange) throws BadRequestException {
        if (exchange.path().equals("/v1/stats")) {
            respondStats(exchange);
            return;
        }
        var path = RECORDS.matcher(exchange.path());
        if (!path.matches()) {
            Json.respondError(exchange, 404, "not_found", "no such path");
            return;
        }
        switch (exchange.method()) {
            case "POST" -> append(exchange, path.group(1));
            case "GET" -> read(exchange, path.group(1));
            default -> Json.respondError(exchange, 405, "not_allowed", "POST or GET");
        }
    }

    private void append(HttpExchange exchange, String name) throws BadRequestException {
        var records = recordsOf(Json.parse(exchange.body()));
        if (!mAppendLimit.tryTake(1, mFaults.current().appendLimitPerSecond())) {
            mRefused.incrementAndGet();
            Json.respondError(exchange, 429, "not_appended", "over the limit of appends a second");
            return;
        }
        if (mStreams.size() >= MOST_STREAMS && !mStreams.containsKey(name)) {
            throw new BadRequestException("too many streams");
        }
        var stream = mStreams.computeIfAbsent(name, unused -> new RecordStream());
        long first = stream.append(records, mClock.wallTime());
        trim(stream);
        mAppends.incrementAndGet();
        mRecords.addAndGet(records.size());
        Json.respond(exchange, 200, Json.object().put("firstOffset", first));
    }

    private void read(HttpExchange exchange, String name) throws BadRequestException {
        mReads.incrementAndGet();
        long from = Json.number(exchange, "from", 1);
        int limit = (int) Json.number(exchange, "limit", DEFAULT_PAGE);
        var stream = mStreams.getOrDefault(name, new RecordStream());
        trim(stream);
        var page = stream.read(from, limit);
        var body = Json.object();
        var entries = body.putArray("entries");
        for (var entry : page.entries()) {
            entries.addObject()
                    .put("offset", entry.offset())
                    .put("appendedAtMillis", entry.appendedAtMillis())
                    .put("data", entry.data());
        }
        body.put("firstOffset", page.firstOffset()).put("nextOffset", page.nextOffset());
        Json.respond(exchange, 200, body);
    }

    private void trim(RecordStream stream) {
        var faults = mFaults.current();
        stream.trim(mClock.wallTime() - faults.retentionMillis(), faults.retentionRecords());
    }

    private void respondStats(HttpExchange exchange) {
        var body = Json.object();
        body.put("appends", mAppends.get());
        body.put("records", mRecords.get());
        body.put("refused", mRefused.get());
        body.put("reads", mReads.get());
        Json.respond(exchange, 200, body);
    }

    private static List<byte[]> recordsOf(JsonNode body) throws BadRequestException {
        var records = new ArrayList<byte[]>();
        for (var record : body.path("records")) {
            try {
                records.add(record.binaryValue());
            } catch (IOException e) {
                throw new BadRequestException("records must be a list of base64 texts");
            }
        }
        if (records.isEmpty() || records.contains(null)) {
            throw new BadRequestException("records must be a list of base64 texts, not empty");
        }
        return records;
    }
}
