package org.fescueport.internal.router;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.fescueport.internal.decision.ChatId;

/**
 * What a router needs to know of a chat-completions body.
 *
 * @param firstMessages identifies a chat whose caller gives it no name
 */
record ChatBody(
        String model,
        boolean isStreaming,
        int promptTokens,
        int maxTokens,
        long prefixHash,
        ChatId firstMessages) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MOST_MAX_TOKENS = 1 << 20;

    static ChatBody parse(byte[] body) throws RequestException {
        JsonNode root = readObject(body);
        var model = root.path("model").asText("");
        if (model.isEmpty()) {
            throw RequestException.invalid(
                    "the body names no model: add \"model\" with one of the declared names");
        }
        var messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw RequestException.invalid(
                    "the body has no messages: add \"messages\" with at least one entry");
        }
        return new ChatBody(
                model,
                root.path("stream").asBoolean(false),
                promptTokens(messages),
                maxTokens(root),
                prefixHash(messages),
                firstMessages(messages));
    }

    private static JsonNode readObject(byte[] body) throws RequestException {
        try {
            var root = JSON.readTree(body);
            if (root != null && root.isObject()) {
                return root;
            }
            throw RequestException.invalid("the body is no JSON object: send one");
        } catch (JsonProcessingException e) {
            var place = e.getLocation();
            throw RequestException.invalid(
                    "the body is broken JSON at line "
                            + place.getLineNr()
                            + ", column "
                            + place.getColumnNr()
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw RequestException.invalid("the body cannot be read as JSON: " + e.getMessage());
        }
    }

    private static int promptTokens(JsonNode messages) {
        int characters = 0;
        for (var message : messages) {
            characters += contentOf(message).length();
        }
        return Math.max(1, characters / BYTES_PER_TOKEN);
    }

    private static int maxTokens(JsonNode root) throws RequestException {
        var field = root.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        var value = root.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isInt() || value.intValue() < 1 || value.intValue() > MOST_MAX_TOKENS) {
            throw RequestException.invalid(
                    "\""
                            + field
                            + "\" is "
                            + value
                            + ": give a number from 1 to "
                            + MOST_MAX_TOKENS);
        }
        return value.intValue();
    }

    private static long prefixHash(JsonNode messages) {
        var first = messages.get(0);
        if (!"system".equals(first.path("role").asText())) {
            return 0;
        }
        return Hashing.komihash5_0().hashCharsToLong(contentOf(first));
    }

    private static ChatId firstMessages(JsonNode messages) {
        var stream = Hashing.komihash5_0().hashStream();
        for (int i = 0; i < Math.min(2, messages.size()); i++) {
            stream.putString(contentOf(messages.get(i)));
        }
        return ChatId.of("first-" + Long.toHexString(stream.getAsLong()));
    }

    private static String contentOf(JsonNode message) {
        var content = message.path("content");
        return content.isTextual() ? content.textValue() : content.toString();
    }
}
