package org.onyxhinge.tools.experiment;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;
import org.onyxhinge.core.schedule.RoutingPolicy;
import org.onyxhinge.tools.load.TierSummary;

/** Plots a comparison as PNG: goodput by tier and wasted prefill of each policy, per scenario and load. */
final class ComparisonPlot {

    private static final int WIDTH_PX = 900;
    private static final int HEIGHT_PX = 420;
    private static final int PERCENT = 100;

    private ComparisonPlot() {}

    /** Writes an image with one chart per scenario and load to {@code file}. */
    static void write(Path file, List<RunResult> results) throws IOException {
        Map<String, List<RunResult>> byLabel = new LinkedHashMap<>();
        results.forEach(r -> byLabel.computeIfAbsent(r.spec().label(), l -> new ArrayList<>())
                .add(r));
        List<CategoryChart> charts = new ArrayList<>();
        byLabel.forEach((label, rs) -> charts.add(chart(label, rs)));
        BitmapEncoder.saveBitmap(charts, charts.size(), 1, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static CategoryChart chart(String label, List<RunResult> results) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(label + ": answers whole and in time by tier, and wasted prefill")
                .yAxisTitle("% of sent (wasted: % of prefill)")
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0).setYAxisMax((double) PERCENT);
        chart.getStyler().setLabelsVisible(true);
        chart.getStyler().setDecimalPattern("0.#");
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        for (RunResult r : results) {
            List<String> names = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (TierSummary t : r.tiers()) {
                names.add(t.tier());
                values.add(PERCENT * t.goodput());
            }
            names.add("wasted prefill");
            values.add(PERCENT * r.wastedFraction());
            chart.addSeries(displayName(r.spec().policy()), names, values);
        }
        return chart;
    }

    private static String displayName(RoutingPolicy policy) {
        return policy.settingName().replace('_', ' ');
    }
}
