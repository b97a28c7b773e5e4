#include "measure/plots.h"

#include <plplot/plplot.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>

namespace rosemaryshift::measure {

namespace {

constexpr PLFLT Headroom = 1.1; ///< Length of the y axis relative to the largest value.
constexpr PLFLT LineWidth = 2;
constexpr PLFLT LegendStep = 1.5; ///< In lines of text, between entries of the legend.
constexpr std::array<PLINT, 5> Colors{1, 3, 9, 13, 8};

struct Plot {
    std::string file;
    std::string title;
    std::string yLabel;
    std::vector<std::string> experiments;  ///< One point of each curve per experiment.
    double Quantiles::*quantile = nullptr; ///< Null to plot the goodput.
    Quantiles Summary::*times = nullptr;   ///< Null to plot the goodput.
};

std::vector<Plot> allPlots()
{
    const std::vector<std::string> loads{"load-0.5", "load-0.9", "load-1", "load-1.1", "load-1.2", "load-1.4", "load-2", "load-4"};
    const std::vector<std::string> slowed{"slow-none", "slow-1", "slow-2", "slow-third"};
    return {
        {"goodput", "Goodput over load", "requests a second within target", loads, nullptr, nullptr},
        {"first-token", "First token of questions", "p99, s", {"no-plans", "behind-plans"}, &Quantiles::p99, &Summary::questionFirstToken},
        {"slowed", "Questions while upstreams are slowed", "p99, s", slowed, &Quantiles::p99, &Summary::questionEnd},
    };
}

double valueOf(const Plot &plot, const Summary &row)
{
    return plot.quantile == nullptr ? row.goodput : row.*plot.times.*plot.quantile;
}

/// Values by policy, in the order of the plot's experiments; policies that lack one of the experiments are left out.
std::map<std::string, std::vector<PLFLT>> curvesOf(const Plot &plot, std::span<const Summary> summaries)
{
    std::map<std::string, std::vector<PLFLT>> curves;
    for (const std::string &experiment : plot.experiments) {
        for (const Summary &row : summaries) {
            if (row.experiment == experiment) {
                curves[row.policy].push_back(valueOf(plot, row));
            }
        }
    }
    std::erase_if(curves, [&plot](const auto &curve) { return curve.second.size() != plot.experiments.size(); });
    return curves;
}

void drawAxes(const Plot &plot, const PlotSettings &settings, PLFLT top)
{
    const PLFLT right = static_cast<PLFLT>(plot.experiments.size());
    plcol0(Colors.front());
    plenv(0, right, 0, top, 0, -2);
    plbox("bc", 0, 0, "bcnstv", 0, 0);
    for (std::size_t i = 0; i < plot.experiments.size(); ++i) {
        plmtex("b", LegendStep, (static_cast<PLFLT>(i) + 0.5) / right, 0.5, plot.experiments[i].c_str());
    }
    const std::string title = plot.title + ", " + settings.scenario;
    pllab(settings.subtitle.c_str(), plot.yLabel.c_str(), title.c_str());
}

void drawCurve(const std::string &policy, std::vector<PLFLT> values, std::size_t number)
{
    std::vector<PLFLT> positions;
    for (std::size_t i = 0; i < values.size(); ++i) {
        positions.push_back(static_cast<PLFLT>(i) + 0.5);
    }
    plcol0(Colors.at(number % Colors.size()));
    plwidth(LineWidth);
    plline(static_cast<PLINT>(values.size()), positions.data(), values.data());
    plwidth(1);
    plmtex("t", -LegendStep * static_cast<PLFLT>(number + 1), 0.03, 0, policy.c_str());
}

void draw(const Plot &plot, const PlotSettings &settings, std::span<const Summary> summaries, const std::string &path)
{
    const std::map<std::string, std::vector<PLFLT>> curves = curvesOf(plot, summaries);
    if (curves.empty()) {
        return;
    }
    PLFLT top = 0;
    for (const auto &[policy, values] : curves) {
        top = std::max(top, *std::ranges::max_element(values));
    }
    plsdev("svg");
    plsfnam(path.c_str());
    plscolbg(255, 255, 255);
    plscol0(Colors.front(), 0, 0, 0);
    plinit();
    drawAxes(plot, settings, std::max(top, 1e-9) * Headroom);
    std::size_t number = 0;
    for (const auto &[policy, values] : curves) {
        drawCurve(policy, values, number++);
    }
    plend();
}

}

bool writePlots(const PlotSettings &settings, std::span<const Summary> summaries, std::string &reason)
{
    std::error_code error;
    if (!std::filesystem::is_directory(settings.folder, error)) {
        reason = settings.folder + " is not a folder";
        return false;
    }
    for (const Plot &plot : allPlots()) {
        draw(plot, settings, summaries, settings.folder + "/" + settings.scenario + "-" + plot.file + ".svg");
    }
    return true;
}

}
