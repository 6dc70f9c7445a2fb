#include "app/poll_batcher.hpp"

#include <set>
#include <utility>

#include "constants.hpp"

namespace dockdyke::app {

using peer::PolledJobStatus;

namespace {

constexpr int kUnavailable = 503;

}  // namespace

PollBatcher::PollBatcher(net::Loop& loop, Sources sources) : loop_(loop), sources_(std::move(sources)) {}

std::optional<PollBatcher::Answer> PollBatcher::enqueue(const JobId& id) {
  if (questions_.size() >= constants::kPollQueueLimit) return std::nullopt;
  const Answer answer(loop_);
  questions_.push_back({id, answer});
  if (!answering_) net::spawn(answer_batches());
  return answer;
}

net::Task<PolledJobStatus> PollBatcher::ask(JobId id, net::Duration patience) {
  const auto answer = enqueue(id);
  if (!answer) co_return unknown();
  const std::optional<PolledJobStatus> polled = co_await answer->wait_until(loop_.now() + patience);
  co_return polled.value_or(unknown());
}

net::Task<std::vector<PolledJobStatus>> PollBatcher::ask_all(std::vector<JobId> ids, net::Duration patience) {
  const auto deadline = loop_.now() + patience;
  std::vector<std::optional<Answer>> answers;
  answers.reserve(ids.size());
  for (const auto& id : ids) answers.push_back(enqueue(id));
  std::vector<PolledJobStatus> out(ids.size(), unknown());
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (!answers[i]) continue;
    const std::optional<PolledJobStatus> polled = co_await answers[i]->wait_until(deadline);
    out[i] = polled.value_or(unknown());
  }
  co_return out;
}

net::Task<void> PollBatcher::answer_batches() {
  answering_ = true;
  while (!questions_.empty()) {
    const auto batch = std::exchange(questions_, {});
    std::set<JobId> distinct;
    for (const auto& question : batch) distinct.insert(question.id);
    const std::vector<JobId> ids(distinct.begin(), distinct.end());
    const std::vector<PolledJobStatus> polled = co_await answer_batch(ids);
    std::map<JobId, PolledJobStatus> found;
    for (std::size_t i = 0; i < ids.size(); ++i) found.emplace(ids[i], polled[i]);
    for (const auto& question : batch) question.answer.set(found.at(question.id));
    co_await loop_.sleep(net::seconds(constants::kPollBatchInterval));
  }
  answering_ = false;
}

net::Task<std::vector<PolledJobStatus>> PollBatcher::answer_batch(std::vector<JobId> ids) {
  std::optional<std::vector<PolledJobStatus>> led = co_await sources_.poll_leader(ids);
  std::vector<PolledJobStatus> out =
      led ? *std::move(led) : std::vector<PolledJobStatus>(ids.size(), unknown());
  // Jobs the leader can't tell of are looked up here: the store may refuse the leader alone.
  std::vector<std::size_t> unclear;
  std::vector<JobId> unclear_ids;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (out[i].status != kUnavailable) continue;
    unclear.push_back(i);
    unclear_ids.push_back(ids[i]);
  }
  if (unclear.empty()) co_return out;
  const std::vector<PolledJobStatus> looked_up = co_await sources_.read_job_statuses(std::move(unclear_ids));
  for (std::size_t i = 0; i < unclear.size(); ++i) out[unclear[i]] = looked_up[i];
  co_return out;
}

}  // namespace dockdyke::app
