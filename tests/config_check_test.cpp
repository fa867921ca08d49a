/// @file Tests of the check of a configuration file. Each names the failure that it guards against.
#include "hyssoppond/tool/tool_base.h"

#include <absl/time/clock.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace hyssoppond {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::IsEmpty;

class config_check_test : public testing::Test
{
protected:
    ~config_check_test() override
    {
        for (const std::string &path : m_paths)
            std::filesystem::remove(path);
    }

    /// Writes a file and returns its path.
    std::string fileWith(const std::string &text)
    {
        m_paths.push_back(testing::TempDir() + "config_check_test_"
                          + std::to_string(absl::GetCurrentTimeNanos()));
        std::ofstream(m_paths.back()) << text;
        return m_paths.back();
    }

    /// Runs the command without an entry that could answer. Returns the exit code.
    int check(const std::string &config, const std::vector<std::string> &options = {})
    {
        std::vector<std::string> words {"--entry", "127.0.0.1:1", "config", "check",
                                        fileWith(config)};
        words.insert(words.end(), options.begin(), options.end());
        std::ostringstream out;
        std::ostringstream err;
        const int code = runTool(words, &out, &err);
        m_out = out.str();
        return code;
    }

    const std::string m_fleet = R"({"agent-1":{"zone":"z1","accelerators":8},
                                    "agent-2":{"zone":"z2","accelerators":8}})";
    std::string m_out;
    std::vector<std::string> m_paths;
};

// Guards against findings in a configuration that the entry would accept and use.
TEST_F(config_check_test, cleanConfigurationHasNoFindings)
{
    const std::string config = R"({"team/a":{"weight":2},"drain/agent-2":{},
        "contract/a/x":{"members":8,"count":1,"zone":"z1"}})";
    EXPECT_EQ(check(config), 0);
    EXPECT_THAT(m_out, IsEmpty());
    EXPECT_EQ(check(config, {"--fleet", fileWith(m_fleet)}), 0) << m_out;
    EXPECT_EQ(check(R"({"team/a":"{\"weight\":2}"})"), 0) << m_out;
    EXPECT_EQ(check("{}"), 0) << m_out;
}

// Guards against errors that show only when the entry refuses the key.
TEST_F(config_check_test, errorsNameKeyValueAndRemedy)
{
    EXPECT_EQ(check(R"({"team/a":{"weight":-1},"limit/b":{},"team/c":"","drain/d":3})"), 1);
    EXPECT_THAT(m_out,
                HasSubstr("Error team/a {\"weight\":-1}: configuration key team/a: field "
                          "\"weight\" must be above 0"));
    EXPECT_THAT(m_out, HasSubstr("Error limit/b {}: "));
    EXPECT_THAT(m_out, HasSubstr("Error team/c : an empty value removes the key; leave"));
    EXPECT_THAT(m_out, HasSubstr("Error drain/d 3: "));
    EXPECT_EQ(check("[]"), 1);
    EXPECT_THAT(m_out, HasSubstr("Error (file) : the configuration is not a JSON object"));
    EXPECT_EQ(check(R"({"team/a":{},"team/a":{"weight":2}})"), 1);
    EXPECT_THAT(m_out, HasSubstr("the key is given twice"));
}

// Guards against contracts and drains that silently have no effect.
TEST_F(config_check_test, entriesThatNeverMatchAreFound)
{
    EXPECT_EQ(check(R"({"contract/a/x":{}})"), 1);
    EXPECT_THAT(m_out, HasSubstr("NeverMatches contract/a/x {}: there is no team \"a\"; add"));
    EXPECT_EQ(check(R"({"drain/agent-9":{}})"), 0);
    EXPECT_EQ(check(R"({"team/a":{"weight":-1},"contract/a/x":{}})"), 1);
    EXPECT_THAT(m_out, testing::Not(HasSubstr("there is no team")));
    EXPECT_EQ(check(R"({"drain/agent-9":{},"team/a":{},"contract/a/x":{"zone":"z9"}})",
                    {"--fleet", fileWith(m_fleet)}),
              1);
    EXPECT_THAT(m_out,
                AllOf(HasSubstr("NeverMatches drain/agent-9 {}: the fleet has no agent"),
                      HasSubstr("the fleet has no zone \"z9\"")));
}

// Guards against guarantees that cannot be kept.
TEST_F(config_check_test, contradictionsAreFound)
{
    EXPECT_EQ(check(R"({"team/a":{"max_queued_jobs":0},"contract/a/x":{}})"), 1);
    EXPECT_THAT(m_out, HasSubstr("Contradiction contract/a/x {}: team/a refuses all jobs"));
    EXPECT_EQ(check(R"({"team/a":{},"contract/a/x":{"members":17}})"), 1);
    EXPECT_THAT(m_out, HasSubstr("17 accelerators within one worker, which has at most 16"));
    const std::string fleet = fileWith(m_fleet);
    EXPECT_EQ(check(R"({"team/a":{},"contract/a/x":{"members":9}})", {"--fleet", fleet}), 1);
    EXPECT_THAT(m_out, HasSubstr("one worker must have 9 accelerators, but the largest"));
    EXPECT_EQ(check(R"({"team/a":{},"contract/a/x":{"members":8,"count":2,"zone":"z1"}})",
                    {"--fleet", fleet}),
              1);
    EXPECT_THAT(m_out, HasSubstr("guarantee 16 accelerators in zone z1, which has 8"));
    EXPECT_EQ(check(R"({"team/a":{},"contract/a/x":{"members":8,"count":2},"drain/agent-1":{}})",
                    {"--fleet", fleet}),
              1);
    EXPECT_THAT(m_out, HasSubstr("guarantee 16 accelerators in the fleet, which has 8"));
}

// Guards against changes that the operator does not see, and against differences in the form of a
// value that are none.
TEST_F(config_check_test, differencesAreShownAndAreNoFault)
{
    const std::string inForce
        = fileWith(R"({"team/a":"{\"weight\": 2}","team/b":{},"drain/old":{}})");
    EXPECT_EQ(check(R"({"team/a":{"weight":2},"team/b":{"weight":3},"team/c":{}})",
                    {"--against", inForce}),
              0);
    EXPECT_EQ(m_out,
              "Difference drain/old : removed; in force is {}\n"
              "Difference team/b {\"weight\":3}: changed; in force is {}\n"
              "Difference team/c {}: added\n");
    EXPECT_EQ(check(R"({"team/c":{}})", {"--against", fileWith("{}"), "--format", "json"}), 0);
    EXPECT_EQ(m_out,
              "{\"findings\":[{\"key\":\"team/c\",\"kind\":\"Difference\","
              "\"message\":\"added\",\"value\":\"{}\"}]}\n");
}

// Guards against wrong arguments that look like a clean or a faulty configuration.
TEST_F(config_check_test, wrongArgumentsHaveTheirOwnExitCode)
{
    EXPECT_EQ(check("{}", {"--format", "yaml"}), 2);
    EXPECT_EQ(check("{}", {"--against", "no such file"}), 2);
    EXPECT_EQ(check("{}", {"another.json"}), 2);
    std::ostringstream out;
    EXPECT_EQ(runTool({"config", "check"}, &out, &out), 2);
    EXPECT_EQ(runTool({"config", "check", testing::TempDir()}, &out, &out), 2);
}

} // namespace
} // namespace hyssoppond
