package org.onyxhinge.tools.fleet;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/** Plots a comparison of policies as PNG: the fraction of the worth that each policy earns, by load pattern. */
final class FleetPlot {

    private static final int WIDTH_PX = 1_000;
    private static final int HEIGHT_PX = 460;
    private static final double PERCENT = 100;

    private FleetPlot() {}

    static void write(Path file, List<FleetSummary> summaries) throws IOException {
        Map<String, Map<String, Double>> worthByPolicy = new LinkedHashMap<>();
        for (FleetSummary s : summaries) {
            worthByPolicy
                    .computeIfAbsent(s.policy(), p -> new LinkedHashMap<>())
                    .put(s.pattern().label(), PERCENT * s.worth());
        }
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title("Worth earned by load pattern and policy")
                .yAxisTitle("% of the worth of answering every request on time")
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(PERCENT);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        worthByPolicy.forEach(
                (policy, worth) -> chart.addSeries(policy, List.copyOf(worth.keySet()), List.copyOf(worth.values())));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
