package org.fescueport.internal.load;

import java.nio.charset.StandardCharsets;
import org.fescueport.internal.standin.engine.KnownAnswer;

/** Texts of a chat: all follow from its name, so that nothing of the past must be kept. */
final class ChatText {
    private final LoadProfile mProfile;

    private ChatText(LoadProfile profile) {
        mProfile = profile;
    }

    static ChatText of(LoadProfile profile) {
        return new ChatText(profile);
    }

    /** Returns the body that asks the chat's next question, with all that was said before. */
    byte[] body(Chat chat, boolean isStreaming) {
        StringBuilder body = new StringBuilder(1024);
        body.append("{\"model\":\"").append(chat.model());
        body.append("\",\"stream\":").append(isStreaming);
        body.append(",\"max_tokens\":").append(mProfile.maxTokens());
        body.append(",\"messages\":[");
        append(body, "system", systemPrompt(chat));
        for (int turn = 0; turn < chat.turns(); turn++) {
            append(body.append(','), "user", question(chat, turn));
            append(body.append(','), "assistant", answer(chat, turn));
        }
        append(body.append(','), "user", question(chat, chat.turns()));
        body.append("]}");
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the only right answer to the chat's next question. */
    String expected(Chat chat) {
        return answer(chat, chat.turns());
    }

    private String systemPrompt(Chat chat) {
        return words("system " + chat.team() + " " + chat.model(), mProfile.systemWords());
    }

    private String question(Chat chat, int turn) {
        return words(chat.id() + " " + turn, mProfile.userWords());
    }

    private String answer(Chat chat, int turn) {
        return KnownAnswer.textFor(question(chat, turn), mProfile.maxTokens());
    }

    private static String words(String seed, int count) {
        return KnownAnswer.textFor(seed, count);
    }

    private static void append(StringBuilder body, String role, String content) {
        body.append("{\"role\":\"").append(role);
        body.append("\",\"content\":\"").append(content).append("\"}");
    }
}
