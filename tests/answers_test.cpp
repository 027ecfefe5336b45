// Tests of answers that bring more than belongs to them: the answer counts, what follows belongs to no call,
// and the connection is not used again.
#include "host_client_fixture.h"

namespace myrtlegrade {
namespace {

const std::string kDone = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
const std::string kRefused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

class AnswersTest : public HostClientTest {
 protected:
  // Sends the parts one after the other; the client reads each before the next is sent.
  void send_parts(tcp::socket& host, const std::vector<std::string>& parts) {
    for (const std::string& part : parts) {
      send(host, part);
      run_for(3ms);
    }
  }
  // Makes a call, answers it with `parts`, and expects that what follows the answer belongs to no call: the
  // next one is made on another connection and gets the answer sent there.
  void expect_only_the_answer_counts(std::vector<CallItem> items, const std::vector<std::string>& parts,
                                     Result expected) {
    const std::size_t count = items.size(), before = results_.size();
    call(std::move(items));
    tcp::socket host = accept();
    read_head(host);
    send_parts(host, parts);
    ASSERT_TRUE(run_until([&] { return results_.size() == before + count; }));
    for (std::size_t i = before; i < results_.size(); ++i) EXPECT_EQ(results_[i].second.result, expected);
    EXPECT_EQ(ended_calls_.back().second, CallEnd::answered);
    call({item(90)});
    tcp::socket next = accept();  // not the connection with the bytes beyond the answer
    read_head(next);
    send(next, kRefused);
    ASSERT_TRUE(run_until([&] { return results_.size() == before + count + 1; }));
    EXPECT_EQ(results_.back().second.result, Result::full) << "the rest was taken for an answer";
    client_.close_all_idle();
  }
};

TEST_F(AnswersTest, ACopyOrNoiseBehindAnAnswerBelongsToNoCall) {
  for (const std::string& rest : {kDone, std::string("noise"), std::string(1, '\0')}) {
    expect_only_the_answer_counts({item(1)}, {kDone + rest}, Result::delivered);  // in one read
    expect_only_the_answer_counts({item(2)}, {kDone, rest}, Result::delivered);
    expect_only_the_answer_counts({item(3)}, {kDone + rest.substr(0, 1), rest.substr(1)}, Result::delivered);
    expect_only_the_answer_counts({item(4)}, {kDone.substr(0, 20), kDone.substr(20) + rest},
                                  Result::delivered);
    expect_only_the_answer_counts({item(5)}, {kRefused + rest}, Result::full);
    expect_only_the_answer_counts({item(6)}, {kRefused, rest}, Result::full);
  }
}

TEST_F(AnswersTest, ACopyOrNoiseBehindABulkAnswerBelongsToNoCall) {
  const std::string states = R"([{"id":"1","state":"done"},{"id":"2","state":"done"}])";
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(states.size()) + "\r\n\r\n" + states;
  for (const std::string& rest : {answer, std::string("noise")}) {
    expect_only_the_answer_counts({item(1), item(2)}, {answer + rest}, Result::delivered);
    expect_only_the_answer_counts({item(1), item(2)}, {answer, rest}, Result::delivered);
    expect_only_the_answer_counts({item(1), item(2)}, {answer.substr(0, 60), answer.substr(60) + rest},
                                  Result::delivered);
  }
}

}  // namespace
}  // namespace myrtlegrade
