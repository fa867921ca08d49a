/// @file Tests of the command-line tool against an rpc_server in the test process that records the
/// requests.
#include "hyssoppond/rpc/rpc_server_base.h"
#include "hyssoppond/tool/runbook_type.h"
#include "hyssoppond/tool/tool_base.h"

#include "hyssoppond/world/job_type.h"

#include "hyssoppond.pb.h"

#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace hyssoppond {
namespace {

using strings = std::vector<std::string>;
using testing::ElementsAre;
using testing::HasSubstr;

/// Exit code and output of one run of the tool.
struct tool_run
{
    int code = 0;
    std::string out;
    std::string err;
};

tool_run runWithArguments(const strings &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runTool(arguments, &out, &err);
    return {code, out.str(), err.str()};
}

/// Creates a file with the given text and removes it in the destructor.
class temporary_file
{
public:
    explicit temporary_file(const std::string &text)
        : m_path(testing::TempDir() + "tool_test_" + std::to_string(absl::GetCurrentTimeNanos()))
    {
        std::ofstream(m_path) << text;
    }
    ~temporary_file() { std::filesystem::remove(m_path); }
    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Runs a server that the tool uses as its entry. It answers each request and records the method
/// and the request id.
class tool_test : public testing::Test
{
protected:
    tool_test()
        : m_server({{"127.0.0.1", 0}}, &m_counters)
    {
        serve<v1::SubmitRequest, v1::SubmitResponse>("Jobs/Submit", [](const auto &, auto *) {});
        serve<v1::JobRequest, v1::Job>("Jobs/Cancel", [this](const auto &request, auto *) {
            m_cancelledJob = request.job_id();
        });
        serve<v1::PublishRequest, v1::PublishResponse>("Config/Publish",
                                                       [](const auto &, auto *) {});
        m_server.add(makeMethod<v1::WaitRequest, v1::Job>(
            "/hyssoppond.v1.Jobs/Wait", [this](const auto &, auto reply) {
                if (m_unknownAnswers-- > 0)
                    return reply(fail(reason::UnknownJob, "no such job"));
                v1::Job job;
                job.set_state(m_endState);
                reply(job);
            }));
        EXPECT_TRUE(m_server.start().has_value());
    }

    template<class request, class response>
    void serve(const std::string &name, std::function<void(const request &, response *)> answer)
    {
        m_server.add(makeMethod<request, response>(
            "/hyssoppond.v1." + name, [this, name, answer](const request &message, auto reply) {
                m_requests.push_back(name + " " + message.request_id());
                if (name == m_failing)
                    return reply(fail(reason::WrongState, "as the test asks", m_failure));
                response filled;
                answer(message, &filled);
                reply(filled);
            }));
    }

    tool_run run(strings arguments)
    {
        arguments.insert(arguments.begin(),
                         {"--entry", "127.0.0.1:" + std::to_string(m_server.port())});
        return runWithArguments(arguments);
    }

    counter_registry m_counters;
    rpc_server m_server;
    // The tool sends one request at a time and waits for its answer, so no lock is needed.
    strings m_requests;
    std::string m_cancelledJob;
    std::string m_failing;
    execution m_failure = execution::Ran;
    v1::JobState m_endState = v1::COMPLETED;
    int m_unknownAnswers = 0; ///< number of Jobs/Wait requests that are still answered UnknownJob
};

// Guards against a parser that splits quoted words, or that takes comments as steps.
TEST(runbook_test, readsQuotesAndComments)
{
    const auto book = parseRunbook("# head\nrunbook a # name\n\n"
                                   "quota east '{\"weight\": 2}' # tail\r\n"
                                   "call \"it's\" x#y ''\n");
    ASSERT_TRUE(book) << book.error().message;
    EXPECT_EQ(book->name, "a");
    ASSERT_EQ(book->steps.size(), 2U);
    EXPECT_EQ(book->steps[0].line, 4U);
    EXPECT_THAT(book->steps[0].words, ElementsAre("quota", "east", "{\"weight\": 2}"));
    EXPECT_THAT(book->steps[1].words, ElementsAre("call", "it's", "x#y", ""));
}

// Guards against a runbook that is accepted without a name, without steps, with too many steps or
// with an open quote.
TEST(runbook_test, refusesIncompleteText)
{
    std::string tooMany = "runbook a\n";
    for (int i = 0; i <= 10'000; ++i)
        tooMany += "nodes\n";
    const std::vector<std::pair<std::string, std::string>> cases {
        {"nodes\n", "has no name"},
        {"runbook a\nnodes 'x\n", "line 2: a quote is not closed"},
        {"runbook a\n# nothing\n", "has 0 steps"},
        {tooMany, "has 10001 steps"},
    };
    for (const auto &[text, message] : cases) {
        const auto book = parseRunbook(text);
        ASSERT_FALSE(book) << message;
        EXPECT_EQ(book.error().why, reason::InvalidArgument);
        EXPECT_THAT(book.error().message, HasSubstr(message));
    }
}

// Guards against a check that accepts an invalid step or that sends requests.
TEST_F(tool_test, runbookCheckFindsBadSteps)
{
    const std::vector<std::pair<std::string, std::string>> cases {
        {"nodes\nrestart agent-1\n", "step 2 (line 3): unknown command \"restart\""},
        {"submit --members 2 -- x\n", "--team is required"},
        {"submit --team a --members 513 -- x\n", "--members is \"513\""},
        {"submit --team a --within room -- x\n", "--within must be"},
        {"submit --team a --colour red -- x\n", "colour"},
        {"drain\n", "0 words are given"},
        {"wait $later\nsubmit --team a --as later -- x\n", "no earlier step has the name $later"},
        {"runbook run other --run-id 1\n", "not allowed in a runbook"},
    };
    for (const auto &[steps, message] : cases) {
        const temporary_file file("runbook a\n" + steps);
        for (const strings &command : {strings {"runbook", "check", file.path()},
                                       strings {"runbook", "run", file.path(), "--run-id", "1"}}) {
            const tool_run outcome = run(command);
            EXPECT_EQ(outcome.code, 2) << steps;
            EXPECT_THAT(outcome.err, HasSubstr(message));
        }
    }
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(run({"runbook", "check", "/no/such/file"}).code, 2);
}

// Guards against documented runbooks that the tool no longer accepts.
TEST_F(tool_test, runbooksOfTheDocumentationAreValid)
{
    for (const char *name : {"onboard-team", "drain-endpoint"}) {
        const std::string path = std::string(HYSSOPPOND_DOCS "/runbooks/") + name + ".runbook";
        EXPECT_THAT(run({"runbook", "check", path}).out, HasSubstr("steps are valid")) << path;
    }
}

// Guards against a continued run that sends new request ids, so that effects are repeated, or that
// cannot resolve the job name that an earlier step gave.
TEST_F(tool_test, runbookRunsWithTheSameRequestIds)
{
    const temporary_file file("runbook a\nquota east {}\nsubmit --team east --as job -- x\n"
                              "wait $job\ncancel $job\n");
    const auto runId = [&](const std::string &id) {
        m_requests.clear();
        return run({"runbook", "run", file.path(), "--run-id", id});
    };
    m_failing = "Jobs/Cancel";
    const tool_run interrupted = runId("day-1");
    EXPECT_EQ(interrupted.code, 5);
    EXPECT_THAT(interrupted.err, HasSubstr("step 4 (line 5)"));
    EXPECT_THAT(interrupted.err, HasSubstr("--run-id day-1"));
    EXPECT_THAT(
        m_requests,
        ElementsAre("Config/Publish a/day-1/1", "Jobs/Submit a/day-1/2", "Jobs/Cancel a/day-1/4"));
    const strings first = m_requests;
    m_failing.clear();
    EXPECT_EQ(runId("day-1").code, 0);
    EXPECT_EQ(m_requests, first);
    EXPECT_EQ(m_cancelledJob, jobIdFor(team_id("east"), request_id("a/day-1/2")).str());
    EXPECT_EQ(runId("day-2").code, 0);
    EXPECT_EQ(m_requests.front(), "Config/Publish a/day-2/1");
    m_endState = v1::FAILED;
    EXPECT_EQ(runId("day-3").code, 1);
    EXPECT_EQ(m_requests.size(), 2U);
    EXPECT_EQ(run({"runbook", "run", file.path()}).code, 2);
}

// Guards against an exit code that does not distinguish a request that did not run, one with an
// unknown outcome and one that ran and failed.
TEST_F(tool_test, exitCodesFollowTheOutcome)
{
    const strings submit {"submit", "--team", "east", "--wait", "--", "x"};
    EXPECT_EQ(run(submit).code, 0);
    m_endState = v1::CANCELLED;
    EXPECT_EQ(run(submit).code, 1);
    m_failing = "Jobs/Submit";
    for (const auto &[state, code] :
         {std::pair(execution::NotRun, 3), std::pair(execution::Unknown, 4),
          std::pair(execution::Ran, 5)}) {
        m_failure = state;
        const tool_run outcome = run(submit);
        EXPECT_EQ(outcome.code, code);
        EXPECT_THAT(outcome.err, HasSubstr("WrongState: as the test asks"));
    }
    EXPECT_EQ(runWithArguments({"--entry", "127.0.0.1:1", "--timeout", "1", "nodes"}).code, 6);
    for (const strings &wrong :
         {strings {}, strings {"restart"}, strings {"--timeout", "0", "nodes"},
          strings {"--output", "xml", "nodes"}, strings {"--entry", "localhost:1", "nodes"},
          strings {"nodes", "--entry"}, strings {"submit", "--", "x"}})
        EXPECT_EQ(runWithArguments(wrong).code, 2);
}

// Guards against a wait that fails because it reaches an entry that has not read the job's journal
// record yet.
TEST_F(tool_test, waitsForAnEntryThatDoesNotKnowTheJobYet)
{
    m_unknownAnswers = 2;
    EXPECT_EQ(run({"submit", "--team", "east", "--wait", "--", "x"}).code, 0);
    m_unknownAnswers = 1000;
    EXPECT_EQ(run({"--timeout", "1", "wait", "j-0"}).code, 3);
}

// Guards against an unknown outcome for which the tool does not print the request id. Without the
// id the caller cannot repeat the request safely.
TEST_F(tool_test, unknownOutcomeNamesTheRequestId)
{
    m_failing = "Config/Publish";
    m_failure = execution::Unknown;
    const tool_run outcome = run({"quota", "east", "{}"});
    EXPECT_EQ(outcome.code, 4);
    ASSERT_EQ(m_requests.size(), 1U);
    const strings words = absl::StrSplit(m_requests.front(), ' ');
    EXPECT_THAT(outcome.err, HasSubstr("--request-id " + words.at(1)));
}

// Guards against a command without help, or whose --help sends a request.
TEST_F(tool_test, eachCommandHasHelp)
{
    EXPECT_THAT(run({"--help"}).out, HasSubstr("Exit codes"));
    for (const tool_command &command : toolCommands()) {
        strings words = absl::StrSplit(command.name, ' ');
        words.emplace_back("--help");
        const tool_run outcome = run(words);
        EXPECT_EQ(outcome.code, 0) << command.name;
        EXPECT_THAT(outcome.out, HasSubstr("Usage: hyssopctl " + command.name));
        EXPECT_THAT(outcome.out, HasSubstr(command.summary));
        EXPECT_THAT(run({"--help"}).out, HasSubstr(command.name));
    }
    EXPECT_TRUE(m_requests.empty());
}

} // namespace
} // namespace hyssoppond
