#include "base/text.h"
#include "entry/entrysettings.h"
#include "gateway/gatewaysettings.h"
#include "settings/settingsdocument.h"
#include "standins/standinengine.h"
#include "standins/standinplatform.h"
#include "standins/standinservice.h"
#include "support/process.h"
#include "templates/templatechecks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

using Check = std::function<std::vector<SettingsError>(std::string_view text)>;

template <typename Read>
Check settingsCheck(Read read)
{
    return [read](std::string_view text) {
        SettingsDocument document(text, "example.toml");
        read(document);
        return std::vector<SettingsError>(document.errors().begin(), document.errors().end());
    };
}

std::vector<SettingsError> checkTemplate(std::string_view text)
{
    std::vector<SettingsError> errors;
    templates::parseTemplate(text, "example.toml", errors);
    return errors;
}

std::string examplePath(const std::string &name)
{
    return std::string(ROSEMARYSHIFT_EXAMPLES) + "/" + name;
}

std::vector<std::string> exampleLines(const std::string &name)
{
    constexpr std::size_t MaxBytes = 1024 * 1024;
    std::string reason;
    const std::optional<std::string> text = readFile(examplePath(name), MaxBytes, reason);
    INFO(reason);
    REQUIRE(text);
    std::vector<std::string> lines;
    std::size_t at = 0;
    while (at < text->size()) {
        const std::size_t end = std::min(text->find('\n', at), text->size());
        lines.push_back(text->substr(at, end - at));
        at = end + 1;
    }
    return lines;
}

std::string withLine(std::vector<std::string> lines, std::size_t index, const std::string &replacement)
{
    lines[index] = replacement;
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

/// Returns the key that a line of settings assigns; empty when it assigns none.
std::string keyOf(const std::string &line)
{
    const std::size_t equals = line.find(" = ");
    return line.starts_with('#') || equals == std::string::npos ? std::string() : line.substr(0, equals);
}

/// Checks that @p text is refused with an error at the line with zero-based @p index whose reason contains @p key and further words.
void checkRefused(const Check &check, const std::string &text, std::size_t index, const std::string &key)
{
    const std::string place = "example.toml:" + std::to_string(index + 1) + ": ";
    const std::vector<SettingsError> errors = check(text);
    const bool named = std::ranges::any_of(errors, [&](const SettingsError &error) {
        return error.text().starts_with(place) && error.reason.find(key) != std::string::npos && error.reason.size() > key.size();
    });
    INFO(key << " in line " << index + 1 << "; first error: " << (errors.empty() ? "none" : errors.front().text()));
    CHECK(named);
}

void checkEachSetting(const std::string &example, const Check &check)
{
    INFO(example);
    const std::vector<std::string> lines = exampleLines(example);
    CHECK(check(withLine(lines, 0, lines[0])).empty());
    std::size_t settings = 0;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const std::string key = keyOf(lines[i]);
        if (key.empty()) {
            continue;
        }
        ++settings;
        checkRefused(check, withLine(lines, i, key + " = [[]]"), i, key);
        checkRefused(check, withLine(lines, i, lines[i] + "\n" + key + "_misspelt = 1"), i + 1, key + "_misspelt");
        const bool isNumber = lines[i].find_first_of("\"[", lines[i].find('=')) == std::string::npos;
        if (key == "log_level") {
            checkRefused(check, withLine(lines, i, "log_level = \"loud\""), i, key);
        }
        if (isNumber) {
            checkRefused(check, withLine(lines, i, key + " = -1"), i, key);
        }
    }
    CHECK(settings > 1);
}

using FindAbsent = std::function<std::vector<AbsentSetting>(std::string_view text)>;

template <typename Read>
FindAbsent absentSettings(Read read)
{
    return [read](std::string_view text) {
        SettingsDocument document(text, "example.toml");
        read(document);
        return std::vector<AbsentSetting>(document.absent().begin(), document.absent().end());
    };
}

/// Returns the default that a comment states, as "10000" from "Default 10000."; empty text for "none", and nothing when the
/// comment states no default at its end.
std::optional<std::string> statedDefault(const std::string &comment)
{
    constexpr std::string_view Word = "Default ";
    const std::size_t at = comment.find(Word);
    if (at == std::string::npos || !comment.ends_with('.')) {
        return std::nullopt;
    }
    const std::string value = comment.substr(at + Word.size(), comment.size() - at - Word.size() - 1);
    return value == "none" ? std::string() : value;
}

/// Checks that the example contains every setting, and that each default it states is the one used when the setting is absent.
void checkDocumented(const std::string &example, const FindAbsent &absent)
{
    const std::vector<std::string> lines = exampleLines(example);
    CHECK(absent(withLine(lines, 0, lines[0])).empty());
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const std::optional<std::string> stated = statedDefault(lines[i - 1]);
        if (keyOf(lines[i]).empty() || !stated) {
            continue;
        }
        INFO(example << ", " << lines[i]);
        const std::vector<AbsentSetting> without = absent(withLine(lines, i, ""));
        REQUIRE(without.size() == 1);
        CHECK(without[0].fallback == *stated);
    }
}

}

SCENARIO("The annotated examples name every setting that the programs read, with its default")
{
    checkDocumented("entry.toml", absentSettings(entry::readEntrySettings));
    checkDocumented("gateway.toml", absentSettings(gateway::readGatewaySettings));
    checkDocumented("standin-engine.toml", absentSettings(standins::readEngineSettings));
    checkDocumented("standin-service.toml", absentSettings(standins::readServiceSettings));
    checkDocumented("standin-platform.toml", absentSettings(standins::readPlatformSettings));
}

SCENARIO("Each program accepts its annotated example settings and refuses those of another kind")
{
    const auto exitCodeOf = [](const std::string &program, const std::vector<std::string> &arguments) { return Process(program, arguments).awaitExit(); };
    const std::string check = "--check-settings";
    CHECK(exitCodeOf("rosemaryshift-entry", {"--settings", examplePath("entry.toml"), check}) == 0);
    CHECK(exitCodeOf("rosemaryshift-gateway", {"--settings", examplePath("gateway.toml"), check}) == 0);
    CHECK(exitCodeOf("rosemaryshift-gateway", {"--settings", examplePath("yard.toml"), check}) == 2);
    CHECK(exitCodeOf("rosemaryshift-standin-engine", {"--settings", examplePath("standin-engine.toml"), check}) == 0);
    CHECK(exitCodeOf("rosemaryshift-standin-service", {"--settings", examplePath("standin-service.toml"), check}) == 0);
    CHECK(exitCodeOf("rosemaryshift-standin-platform", {"--settings", examplePath("standin-platform.toml"), check}) == 0);
    CHECK(exitCodeOf("rosemaryshift-ctl", {"template", "check", examplePath("yard.toml")}) == 0);
    CHECK(exitCodeOf("rosemaryshift-entry", {"--settings", examplePath("yard.toml"), check}) == 2);
    CHECK(exitCodeOf("rosemaryshift-ctl", {"template", "check", examplePath("entry.toml")}) == 2);
}

SCENARIO("Each setting with a wrong type, out of range or misspelt is refused with file, line and reason")
{
    checkEachSetting("entry.toml", settingsCheck(entry::readEntrySettings));
    checkEachSetting("gateway.toml", settingsCheck(gateway::readGatewaySettings));
    checkEachSetting("standin-engine.toml", settingsCheck(standins::readEngineSettings));
    checkEachSetting("standin-service.toml", settingsCheck(standins::readServiceSettings));
    checkEachSetting("standin-platform.toml", settingsCheck(standins::readPlatformSettings));
    checkEachSetting("yard.toml", checkTemplate);
}
