package org.fescueport.internal.decision.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;

/** Parses a YAML document into nodes that have line numbers. */
final class YamlReader {
    private static final int MAX_DEPTH = 16;
    private static final YAMLFactory FACTORY = new YAMLFactory();

    private final String mFile;
    private final YAMLParser mParser;

    private YamlReader(String file, YAMLParser parser) {
        mFile = file;
        mParser = parser;
    }

    /**
     * Parses a text that holds a single YAML document.
     *
     * @param file the file's path, for messages
     * @return the root of the document, or the problem that prevents it from being parsed
     */
    static Either<Problem, YamlNode> read(String file, String text) {
        try (var parser = FACTORY.createParser(text)) {
            var reader = new YamlReader(file, parser);
            if (parser.nextToken() == null) {
                return Either.left(problem(file, 1, "an empty file", "nothing is declared"));
            }
            var root = reader.node(0);
            if (parser.nextToken() != null) {
                var why = "a file must hold a single YAML document";
                return Either.left(problem(file, reader.line(), "a second document", why));
            }
            return Either.right(root);
        } catch (JsonProcessingException e) {
            var line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            var why = reasonOf(e);
            return Either.left(problem(file, line, "not YAML", why));
        } catch (IOException e) {
            return Either.left(problem(file, 1, "unreadable text", e.getMessage()));
        }
    }

    private static Problem problem(String file, int line, String subject, String why) {
        return new Problem(file, line, subject, why, "one YAML mapping with schema, kind and name");
    }

    /** Returns the parser's reason without its excerpts of the text, which may contain a secret. */
    private static String reasonOf(JsonProcessingException e) {
        var reasons =
                e.getOriginalMessage()
                        .lines()
                        .filter(line -> !line.startsWith(" ") && !line.isBlank())
                        .toList();
        return String.join(", ", reasons);
    }

    private YamlNode node(int depth) throws IOException {
        var line = line();
        if (depth > MAX_DEPTH) {
            throw new UnsupportedYamlException(mParser, "values are nested too deeply");
        }
        if (mParser.isCurrentAlias() || mParser.getObjectId() != null) {
            throw new UnsupportedYamlException(mParser, "anchors and aliases are not supported");
        }
        return switch (mParser.currentToken()) {
            case START_OBJECT -> mapping(line, depth);
            case START_ARRAY -> sequence(line, depth);
            default -> new YamlNode.Scalar(line, mParser.getText());
        };
    }

    private YamlNode mapping(int line, int depth) throws IOException {
        var entries = new ArrayList<YamlNode.Entry>();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            var key = mParser.currentName();
            var keyLine = line();
            mParser.nextToken();
            entries.add(new YamlNode.Entry(key, keyLine, node(depth + 1)));
        }
        return new YamlNode.Mapping(line, entries);
    }

    private YamlNode sequence(int line, int depth) throws IOException {
        var items = new ArrayList<YamlNode>();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            items.add(node(depth + 1));
        }
        return new YamlNode.Sequence(line, items);
    }

    private int line() {
        return Math.max(1, mParser.currentTokenLocation().getLineNr());
    }

    private static final class UnsupportedYamlException extends JsonProcessingException {
        private static final long serialVersionUID = 1L;

        UnsupportedYamlException(YAMLParser parser, String message) {
            super(message, parser.currentTokenLocation());
        }
    }
}
