// Loads all stored records at the start of a leader's term.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/term_context.hpp"
#include "core/events.hpp"
#include "net/task.hpp"
#include "wire/messages.hpp"

namespace dockdyke::app {

// The events for all stored records, and the revision after which changes must be watched.
struct LoadedRecords {
  std::vector<core::Event> events;
  Revision revision;
  std::size_t attempts = 0;  // including the successful one
};

// Logs and skips malformed records.
class RecordLoader {
 public:
  explicit RecordLoader(TermContext& context);

  // Loads the records, with retries, or returns std::nullopt if the term has ended. The records of a failed
  // attempt are discarded: a job among them may be cancelled before the next attempt, and neither that
  // attempt nor the watch after it would reveal the cancellation.
  net::Task<std::optional<LoadedRecords>> load();

 private:
  // Converts a record to an event; throws wire::ParseError.
  using Parser = std::function<core::Event(const wire::KeyValue&)>;

  net::Task<std::optional<LoadedRecords>> try_load();
  // Returns the records with the prefix, or std::nullopt if the call failed or the term has ended.
  net::Task<std::optional<wire::KeyPage>> list(std::string prefix);
  // Parses the records of the page and appends them to `events`.
  static void append_events(const wire::KeyPage& page, const Parser& parse, std::vector<core::Event>& events);

  TermContext& context_;
};

}  // namespace dockdyke::app
