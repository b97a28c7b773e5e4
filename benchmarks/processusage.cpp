#include "processusage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace rosemaryshift::testing {

namespace {

std::string firstLine(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::string line;
    std::getline(stream, line);
    return line;
}

/// Processor time of one thread in seconds: fields 14 (user) and 15 (system) of its stat file, in clock ticks; see proc(5).
double threadSeconds(const std::filesystem::path &thread)
{
    const std::string stat = firstLine(thread / "stat");
    std::istringstream fields(stat.substr(stat.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}

Usage usageOf(const EntryProcess &entry)
{
    Usage usage;
    const std::filesystem::path folder = "/proc/" + std::to_string(entry.process->pid());
    for (const std::filesystem::directory_entry &thread : std::filesystem::directory_iterator(folder / "task")) {
        const bool isControl = firstLine(thread.path() / "comm") == "control";
        (isControl ? usage.controlSeconds : usage.trafficSeconds) += threadSeconds(thread.path());
    }
    std::ifstream status(folder / "status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            usage.residentKb = std::stod(line.substr(6));
        }
    }
    return usage;
}

}
