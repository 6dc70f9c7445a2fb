// Reads all stored records at the beginning of a leader's term.
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

// All records of one reading, as events, and the revision from which changes are to be watched.
struct LoadedRecords {
  std::vector<core::Event> events;
  Revision revision;
  std::size_t attempts = 0;  // readings, the last of which succeeded
};

// Malformed records are logged and skipped.
class RecordLoader {
 public:
  explicit RecordLoader(TermContext& context);

  // Repeats the reading until it succeeds; nothing when the term has ended. All or nothing: a job of a
  // reading that failed half-way may be cancelled before the next one begins, and neither that reading nor
  // the watch after it would tell.
  net::Task<std::optional<LoadedRecords>> load();

 private:
  // Makes an event of a record; throws wire::ParseError.
  using Parser = std::function<core::Event(const wire::KeyValue&)>;

  net::Task<std::optional<LoadedRecords>> try_load();
  // The records with the prefix; nothing when the call failed or the term has ended.
  net::Task<std::optional<wire::KeyPage>> list(std::string prefix);
  static void append(const wire::KeyPage& page, const Parser& parse, std::vector<core::Event>& events);

  TermContext& context_;
};

}  // namespace dockdyke::app
