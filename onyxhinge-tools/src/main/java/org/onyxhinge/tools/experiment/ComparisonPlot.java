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

/** Draws a comparison as PNG: for each run's conditions, goodput by tier and wasted prefill per policy. */
final class ComparisonPlot {

    private static final int WIDTH_PX = 900;
    private static final int HEIGHT_PX = 420;
    private static final int PERCENT = 100;

    private ComparisonPlot() {}

    /** Writes one chart per scenario and load beside {@code file}, all in one picture. */
    static void write(Path file, List<CellResult> results) throws IOException {
        Map<String, List<CellResult>> byConditions = new LinkedHashMap<>();
        results.forEach(r -> byConditions
                .computeIfAbsent(r.cell().label(), l -> new ArrayList<>())
                .add(r));
        List<CategoryChart> charts = new ArrayList<>();
        byConditions.forEach((label, rs) -> charts.add(chart(label, rs)));
        BitmapEncoder.saveBitmap(charts, charts.size(), 1, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static CategoryChart chart(String label, List<CellResult> results) {
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
        for (CellResult r : results) {
            List<String> names = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (TierSummary t : r.tiers()) {
                names.add(t.tier());
                values.add(PERCENT * t.goodput());
            }
            names.add("wasted prefill");
            values.add(PERCENT * r.wastedShare());
            chart.addSeries(name(r.cell().policy()), names, values);
        }
        return chart;
    }

    private static String name(RoutingPolicy policy) {
        return policy.settingName().replace('_', ' ');
    }
}
