package org.fescueport.internal.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the batch does in one step: prompt tokens to prefill, and sequences that decode one. */
record StepWork(Map<Sequence, Integer> prefills, List<Sequence> decodes) {
    /** Plans a step; prefills share {@code prefillBudget} tokens in the order of the batch. */
    static StepWork plan(List<Sequence> running, int prefillBudget) {
        var prefills = new LinkedHashMap<Sequence, Integer>();
        var decodes = new ArrayList<Sequence>();
        int budget = prefillBudget;
        for (var sequence : running) {
            int prefill = Math.min(budget, sequence.prefillLeft());
            if (prefill > 0) {
                prefills.put(sequence, prefill);
                budget -= prefill;
            } else if (sequence.canDecode()) {
                decodes.add(sequence);
            }
        }
        return new StepWork(prefills, decodes);
    }

    boolean isEmpty() {
        return prefills.isEmpty() && decodes.isEmpty();
    }

    int sequences() {
        return prefills.size() + decodes.size();
    }

    int prefillTokens() {
        return prefills.values().stream().mapToInt(Integer::intValue).sum();
    }
}
