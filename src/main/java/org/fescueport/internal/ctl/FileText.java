package org.fescueport.internal.ctl;

import java.time.Instant;
import java.util.List;
import java.util.TreeSet;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.fescueport.internal.decision.WorkKind;
import org.fescueport.internal.decision.config.DeclarationFile;

/** A declaration as sorted lines, one fact a line, for comparing. */
final class FileText {
    private final TreeSet<String> mLines = new TreeSet<>();

    private FileText() {}

    static List<String> linesOf(DeclarationFile file) {
        var text = new FileText();
        switch (file) {
            case DeclarationFile.ModelFile f -> text.add(f);
            case DeclarationFile.ServiceFile f -> text.add(f);
            case DeclarationFile.TeamsFile f -> f.teams().values().forEach(text::add);
            case DeclarationFile.TokenKeysFile f -> text.add(f.keys());
        }
        return List.copyOf(text.mLines);
    }

    private void add(DeclarationFile.ModelFile file) {
        var model = file.model();
        line("pool", model.pool());
        line("artifact", model.artifact());
        line("replicas", model.replicas());
        line("loadBound", model.loadBound());
        line("checksFencing", model.checksFencing());
        line("defaultWork", model.defaultWork());
        model.workKinds().values().forEach(work -> line("work." + work.name(), text(work)));
        file.teams().forEach(team -> line("teams", team));
    }

    private void add(DeclarationFile.ServiceFile file) {
        var service = file.service();
        line("pool", service.pool());
        line("loadBound", service.loadBound());
        line("checksFencing", service.checksFencing());
        service.operations().values().forEach(op -> line("operations." + op.name(), text(op)));
        file.teams().forEach(team -> line("teams", team));
    }

    private void add(TeamDeclaration team) {
        var where = "teams." + team.id();
        line(where + ".weight", team.weight());
        team.keyHashes().forEach(hash -> line(where + ".keyHashes", hash));
        team.targets().forEach(target -> line(where + ".targets", target));
    }

    private void add(TokenKeyDeclaration keys) {
        line("signs", keys.signs());
        keys.acceptedUntilMillis()
                .forEach((id, until) -> line("accepted." + id, Instant.ofEpochMilli(until)));
    }

    private void line(String name, Object value) {
        mLines.add(name + ": " + value);
    }

    private static String text(WorkKind work) {
        return "priority " + work.priority() + ", deadline " + work.deadline().toMillis() + "ms";
    }

    private static String text(OperationDeclaration operation) {
        var repeat =
                operation.idempotent()
                        ? "idempotent"
                        : "not idempotent, keyWindow " + operation.keyWindow().toMillis() + "ms";
        return repeat + ", " + text(operation.work());
    }
}
