#include "measure/emulation.h"
#include "measure/experiments.h"
#include "measure/plots.h"
#include "measure/summary.h"
#include "program/program.h"
#include "settings/settingsdocument.h"

#include "base/text.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

using namespace rosemaryshift;
using namespace rosemaryshift::measure;

namespace {

constexpr std::string_view Name = "rosemaryshift-measure";
constexpr std::string_view Usage = R"(Compares the decision policy with baseline policies, on simulated upstreams in virtual time.

Usage:
  rosemaryshift-measure --scenario NAME [--scenarios DIR] [--policy NAME] [--experiment NAME] [--seeds N] [--first-seed N] [--csv FILE] [--plots DIR]
  rosemaryshift-measure (--help | --version)

Options:
  --scenario NAME    Name of a file in the scenario folder, as in kovacs.
  --scenarios DIR    Folder of the scenarios [default: scenarios].
  --policy NAME      Only this policy.
  --experiment NAME  Only this experiment.
  --seeds N          Number of seeds [default: 5].
  --first-seed N     The first seed; the others are the numbers after it [default: 1].
  --csv FILE         Also write the figures as comma-separated values.
  --plots DIR        Also write plots as SVG into this folder.
  --help             Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 a request did not end exactly once, a call was repeated or a file could not be written, 2 wrong command line or scenario.
)";

constexpr std::size_t MaxScenarioBytes = 1'000'000;
constexpr std::uint64_t MaxSeeds = 1'000;

struct SeedRange {
    std::uint64_t first = 1;
    std::uint64_t count = 5;
};

std::string describeSettings(SeedRange seeds)
{
    const decisions::PolicySettings settings;
    std::ostringstream text;
    text << "seeds " << seeds.first << " to " << seeds.first + seeds.count - 1 << ", plan share " << settings.planShare << ", hedge share "
         << settings.hedgeShare << ", retry share " << settings.retryShare;
    return text.str();
}

std::optional<Scenario> loadScenario(const std::string &path)
{
    std::string reason;
    const std::optional<std::string> text = readFile(path, MaxScenarioBytes, reason);
    if (!text) {
        std::cerr << reason << '\n';
        return std::nullopt;
    }
    SettingsDocument document(*text, path);
    Scenario scenario = readScenario(document);
    if (!document.errors().empty()) {
        std::cerr << document.errorText();
        return std::nullopt;
    }
    return scenario;
}

Summary runSeeds(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, SeedRange seeds)
{
    std::vector<std::future<RunResult>> running;
    for (std::uint64_t i = 0; i < seeds.count; ++i) {
        running.push_back(std::async(std::launch::async, [&, seed = seeds.first + i] { return emulate(scenario, policy, experiment, seed); }));
    }
    std::vector<RunResult> runs;
    runs.reserve(running.size());
    for (std::future<RunResult> &run : running) {
        runs.push_back(run.get());
    }
    return summarize(policy, experiment, runs);
}

template <typename Named>
std::vector<Named> filterByName(std::vector<Named> all, const std::string &name)
{
    if (!name.empty()) {
        std::erase_if(all, [&name](const Named &entry) { return entry.name != name; });
    }
    return all;
}

bool writeReport(const Scenario &scenario, const std::vector<Summary> &summaries, SeedRange seeds, const std::string &csvPath)
{
    std::cout << "scenario " << scenario.name << ", " << describeSettings(seeds) << ", capacity " << scenario.capacity()
              << " requests a second, times in seconds\n";
    writeTable(std::cout, summaries);
    if (!csvPath.empty()) {
        std::ofstream csv(csvPath);
        writeCsv(csv, scenario.name, summaries);
        if (!csv.flush()) {
            std::cerr << csvPath << " cannot be written\n";
            return false;
        }
    }
    return std::ranges::all_of(summaries, [](const Summary &row) { return row.unanswered == 0 && row.repeatedCalls == 0; });
}

}

int main(int argc, char **argv)
{
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    const std::optional<std::uint64_t> count = parseUnsigned(arguments.text("--seeds"));
    const std::optional<std::uint64_t> first = parseUnsigned(arguments.text("--first-seed"));
    const std::vector<NamedPolicy> policies = filterByName(allPolicies(), arguments.text("--policy"));
    const std::vector<Experiment> experiments = filterByName(allExperiments(), arguments.text("--experiment"));
    if (!count || !first || *count == 0 || *count > MaxSeeds || policies.empty() || experiments.empty()) {
        std::cerr << "unknown policy or experiment, or invalid --seeds or --first-seed\n";
        return program::BadUsage;
    }
    const std::optional<Scenario> scenario = loadScenario(arguments.text("--scenarios") + "/" + arguments.text("--scenario") + ".toml");
    if (!scenario) {
        return program::BadUsage;
    }
    const std::string plots = arguments.text("--plots");
    const SeedRange seeds{*first, *count};
    std::vector<Summary> summaries;
    for (const Experiment &experiment : experiments) {
        for (const NamedPolicy &policy : policies) {
            summaries.push_back(runSeeds(*scenario, policy, experiment, seeds));
        }
    }
    std::string reason;
    const std::string subtitle = describeSettings(seeds);
    if (!plots.empty() && !writePlots({plots, scenario->name, subtitle}, summaries, reason)) {
        std::cerr << reason << '\n';
        return program::Failed;
    }
    return writeReport(*scenario, summaries, seeds, arguments.text("--csv")) ? program::Success : program::Failed;
}
