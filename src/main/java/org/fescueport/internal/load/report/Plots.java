package org.fescueport.internal.load.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler.LegendPosition;

/** Draws plots as PNG. */
final class Plots {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 360;
    private static final int LABEL_ROTATION = 30;

    private Plots() {}

    /** Returns the worth of each day over the runs, in their order. */
    static byte[] worthByRun(List<DayRun> runs) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("Worth by day, one point a score")
                        .xAxisTitle("score, the oldest first")
                        .yAxisTitle("worth")
                        .build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        Map<String, Integer> scores = new LinkedHashMap<>();
        runs.forEach(run -> scores.putIfAbsent(run.when(), scores.size() + 1));
        Map<String, List<DayRun>> byDay = new TreeMap<>();
        runs.forEach(run -> byDay.computeIfAbsent(run.day(), day -> new ArrayList<>()).add(run));
        byDay.forEach(
                (day, list) ->
                        chart.addSeries(
                                day,
                                list.stream().map(run -> scores.get(run.when())).toList(),
                                list.stream().map(DayRun::worth).toList()));
        return png(chart);
    }

    /** Returns where the worth of each day went. */
    static byte[] losses(List<DayRun> days, int most) {
        CategoryChart chart = bars("Worth that running cost, by day", "worth");
        chart.getStyler().setStacked(true);
        List<String> names = days.stream().map(DayRun::day).toList();
        List<String> kinds =
                days.stream()
                        .flatMap(day -> day.largestLosses(most).stream())
                        .map(Loss::what)
                        .distinct()
                        .toList();
        for (String kind : kinds) {
            chart.addSeries(kind, names, days.stream().map(day -> lossOf(day, kind)).toList());
        }
        return png(chart);
    }

    /** Returns what was served by class, zone or window of each day. */
    static byte[] shares(String title, List<Share> shares) {
        CategoryChart chart = bars(title, "served");
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        chart.addSeries(
                "served",
                shares.stream().map(Share::name).toList(),
                shares.stream().map(Share::worth).toList());
        return png(chart);
    }

    private static double lossOf(DayRun day, String kind) {
        return day.losses().stream()
                .filter(loss -> loss.what().equals(kind))
                .mapToDouble(Loss::worth)
                .sum();
    }

    private static CategoryChart bars(String title, String axis) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .yAxisTitle(axis)
                        .build();
        chart.getStyler().setXAxisLabelRotation(LABEL_ROTATION);
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        return chart;
    }

    private static byte[] png(Chart<?, ?> chart) {
        try {
            return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException("a plot cannot be drawn", e);
        }
    }
}
