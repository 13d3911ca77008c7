package org.fescueport.internal.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.Json;

/**
 * One chat-completions request.
 *
 * @param promptTokens a hash of each token of the prompt: one per role and one per word
 * @param lastUserMessage the message that {@link KnownAnswer} answers
 * @param resumeText text that was already delivered and is continued; empty for a new answer
 */
record ChatRequest(
        String model,
        long[] promptTokens,
        String promptText,
        String lastUserMessage,
        int maxTokens,
        boolean stream,
        int priority,
        String resumeText) {
    private static final int DEFAULT_MAX_TOKENS = 64;
    private static final int LARGEST_MAX_TOKENS = 100_000;
    private static final String ANSWERING_ROLE = "assistant";

    /** Reads the usual JSON form. */
    static ChatRequest parse(byte[] body) throws BadRequestException {
        var root = Json.parse(body);
        var messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new BadRequestException("messages must be a list with at least one message");
        }
        var text = new StringBuilder();
        String lastUserMessage = "";
        for (var message : messages) {
            var role = message.path("role").asText("user");
            var content = contentOf(message.path("content"));
            if (role.equals("user")) {
                lastUserMessage = content;
            }
            text.append('<').append(role).append("> ").append(content).append(' ');
        }
        text.append('<').append(ANSWERING_ROLE).append('>');
        return new ChatRequest(
                root.path("model").asText(""),
                tokenHashes(text.toString()),
                text.toString(),
                lastUserMessage,
                maxTokens(root),
                root.path("stream").asBoolean(false),
                root.path("priority").asInt(0),
                root.path("resume_text").asText(""));
    }

    /** Returns a hash of each word of {@code text}. */
    static long[] tokenHashes(String text) {
        var hashes = new long[(text.length() + 1) / 2];
        int count = 0;
        int begin = 0;
        for (int i = 0; i <= text.length(); i++) {
            if (i == text.length() || isSpace(text.charAt(i))) {
                if (i > begin) {
                    hashes[count++] = Hashing.xxh3_64().hashCharsToLong(text.substring(begin, i));
                }
                begin = i + 1;
            }
        }
        return Arrays.copyOf(hashes, count);
    }

    private static boolean isSpace(char letter) {
        return letter == ' ' || letter >= '\t' && letter <= '\r';
    }

    /** Returns the tokens that are still to be generated. */
    List<String> remainingTokens() throws BadRequestException {
        var tokens = KnownAnswer.tokensFor(lastUserMessage, maxTokens);
        if (resumeText.isEmpty()) {
            return tokens;
        }
        if (!String.join("", tokens).startsWith(resumeText)) {
            throw new BadRequestException("resume_text is not the beginning of this answer");
        }
        return after(resumeText.length(), tokens);
    }

    private static List<String> after(int characters, List<String> tokens) {
        var rest = new ArrayList<String>();
        int begin = 0;
        for (var token : tokens) {
            int skipped = Math.clamp(characters - begin, 0, token.length());
            if (skipped < token.length()) {
                rest.add(token.substring(skipped));
            }
            begin += token.length();
        }
        return rest;
    }

    private static int maxTokens(JsonNode root) throws BadRequestException {
        int tokens =
                root.path("max_tokens")
                        .asInt(root.path("max_completion_tokens").asInt(DEFAULT_MAX_TOKENS));
        if (tokens < 1 || tokens > LARGEST_MAX_TOKENS) {
            throw new BadRequestException(
                    "max_tokens must be from 1 to " + LARGEST_MAX_TOKENS + ", not " + tokens);
        }
        return tokens;
    }

    private static String contentOf(JsonNode content) {
        if (!content.isArray()) {
            return content.asText("");
        }
        var text = new StringBuilder();
        for (var part : content) {
            text.append(part.path("text").asText(""));
        }
        return text.toString();
    }
}
