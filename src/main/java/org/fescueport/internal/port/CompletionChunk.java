package org.fescueport.internal.port;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * What one chunk of a chat-completions stream says.
 *
 * @param text next piece of the answer; empty when there is none
 * @param finishReason empty while the answer goes on
 * @param usage null when the chunk carries none
 * @param error the engine's message when it gave up; empty else
 */
public record CompletionChunk(String text, String finishReason, Usage usage, String error) {
    /** Tokens of the request and of the answer so far. */
    public record Usage(int promptTokens, int cachedTokens, int completionTokens) {}

    private static final JsonFactory FACTORY = new JsonFactory();

    /** Reads a chunk; throws {@link IOException} when it is not JSON. */
    public static CompletionChunk parse(byte[] bytes, int offset, int length) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes, offset, length)) {
            Reader reader = new Reader();
            reader.readObject(parser, "");
            return new CompletionChunk(
                    reader.mText.toString(),
                    reader.mFinishReason,
                    reader.mHasUsage
                            ? new Usage(reader.mPrompt, reader.mCached, reader.mCompletion)
                            : null,
                    reader.mError);
        }
    }

    /** Walks the tokens once and keeps the few fields that matter, without a tree. */
    private static final class Reader {
        private final StringBuilder mText = new StringBuilder();
        private String mFinishReason = "";
        private String mError = "";
        private boolean mHasUsage;
        private int mPrompt;
        private int mCached;
        private int mCompletion;

        void readObject(JsonParser parser, String path) throws IOException {
            if (path.isEmpty()) {
                parser.nextToken();
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                readValue(parser, path, name);
            }
        }

        private void readValue(JsonParser parser, String path, String name) throws IOException {
            switch (parser.currentToken()) {
                case START_OBJECT -> readNested(parser, name);
                case START_ARRAY -> readArray(parser, name);
                case VALUE_STRING -> readText(parser, path, name);
                case VALUE_NUMBER_INT -> readNumber(parser, name);
                default -> {
                    // Null, true, false and fractions mean nothing here.
                }
            }
        }

        private void readNested(JsonParser parser, String name) throws IOException {
            switch (name) {
                case "delta", "usage", "prompt_tokens_details", "error" -> {
                    mHasUsage |= name.equals("usage");
                    readObject(parser, name);
                }
                default -> parser.skipChildren();
            }
        }

        private void readArray(JsonParser parser, String name) throws IOException {
            if (!name.equals("choices")) {
                parser.skipChildren();
                return;
            }
            while (parser.nextToken() == JsonToken.START_OBJECT) {
                readObject(parser, "choices");
            }
        }

        private void readText(JsonParser parser, String path, String name) throws IOException {
            switch (path + "." + name) {
                case "delta.content" -> mText.append(parser.getText());
                case "choices.finish_reason" -> mFinishReason = parser.getText();
                case "error.message" -> mError = parser.getText();
                default -> {
                    // Ids, roles and names mean nothing here.
                }
            }
        }

        private void readNumber(JsonParser parser, String name) throws IOException {
            switch (name) {
                case "prompt_tokens" -> mPrompt = parser.getIntValue();
                case "cached_tokens" -> mCached = parser.getIntValue();
                case "completion_tokens" -> mCompletion = parser.getIntValue();
                default -> {
                    // Times and indexes mean nothing here.
                }
            }
        }
    }
}
