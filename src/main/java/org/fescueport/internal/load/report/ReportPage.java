package org.fescueport.internal.load.report;

import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A page of HTML that holds its plots in itself. */
final class ReportPage {
    private static final int MOST_LOSSES = 6;

    private final StringBuilder mText = new StringBuilder();

    private ReportPage(String title) {
        mText.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escaped(title))
                .append("</title><style>body{font-family:sans-serif;max-width:60em;margin:auto}")
                .append("td,th{padding:.1em .8em;text-align:right}</style></head><body>");
        heading(1, title);
    }

    /** Returns the page of a site's scores and of single days, either of which may be empty. */
    static String of(String site, List<DayRun> scored, List<DayRun> single) {
        var page = new ReportPage(site.isEmpty() ? "Days" : "Days of " + site);
        if (!scored.isEmpty()) {
            page.addScores(scored);
        }
        single.forEach(page::addDay);
        return page.mText.append("</body></html>\n").toString();
    }

    private void addScores(List<DayRun> runs) {
        heading(2, "By score");
        plot("worth by day", Plots.worthByRun(runs));
        table(runs);
        String newest = runs.getLast().when();
        List<DayRun> last = runs.stream().filter(run -> run.when().equals(newest)).toList();
        heading(2, "Where worth was lost, newest score");
        addLosses(last);
        for (var day : last) {
            heading(3, day.day());
            addServed("class, " + day.day(), day.classes());
            addServed("zone, " + day.day(), day.zones());
        }
    }

    private void addDay(DayRun day) {
        heading(2, String.format(Locale.ROOT, "%s: worth %.3f", day.day(), day.worth()));
        addLosses(List.of(day));
        addServed("class", day.classes());
        addServed("zone", day.zones());
        addServed("stretch of the day", day.windows());
    }

    private void addLosses(List<DayRun> days) {
        if (days.stream().anyMatch(day -> !day.largestLosses(1).isEmpty())) {
            plot("losses by day", Plots.losses(days, MOST_LOSSES));
        }
    }

    private void addServed(String by, List<Share> shares) {
        if (!shares.isEmpty()) {
            plot("served by " + by, Plots.shares("Served by " + by, shares));
        }
    }

    private void table(List<DayRun> runs) {
        Map<String, Map<String, Double>> rows = new LinkedHashMap<>();
        Map<String, Boolean> days = new LinkedHashMap<>();
        for (var run : runs) {
            days.put(run.day(), true);
            rows.computeIfAbsent(run.when() + " " + run.version(), key -> new LinkedHashMap<>())
                    .put(run.day(), run.worth());
        }
        mText.append("<table><tr><th>score</th>");
        days.keySet().forEach(day -> cell("th", day));
        mText.append("</tr>");
        rows.forEach(
                (name, worths) -> {
                    mText.append("<tr>");
                    cell("td", name);
                    days.keySet().forEach(day -> cell("td", figure(worths.get(day))));
                    mText.append("</tr>");
                });
        mText.append("</table>");
    }

    private static String figure(Double worth) {
        return worth == null ? "" : String.format(Locale.ROOT, "%.3f", worth);
    }

    private void cell(String kind, String text) {
        mText.append('<').append(kind).append('>').append(escaped(text));
        mText.append("</").append(kind).append('>');
    }

    private void heading(int level, String text) {
        mText.append("<h").append(level).append('>').append(escaped(text));
        mText.append("</h").append(level).append('>');
    }

    private void plot(String name, byte[] png) {
        mText.append("<p><img alt=\"")
                .append(escaped(name))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\"></p>");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
