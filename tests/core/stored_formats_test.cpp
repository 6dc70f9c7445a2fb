// Tests the compatibility of stored records and peer messages with the previous version (0e9158b2), whose
// output the constants hold byte for byte. During an upgrade both versions run side by side: the current one
// must read these formats and, except for gangs, write identical bytes.
#include <gtest/gtest.h>

#include "core/stored_records.hpp"
#include "peer/peer.hpp"

namespace dockdyke::testing {

namespace {

using wire::Json;

const char* const kJobJson =
    R"({"at":1790000000123,"spec":{"builds":["g8"],"crew":"vision","due_s":900.0,"ebbtide":true,"expect_s":240.0,)"
    R"("gpus":1.0,"hull":"img-07","id":"job-000412","image_gb":6.2,"lane":"train","mark_s":30.0,"pieces":16,)"
    R"("polder":null,"ram_gb":64.0,"same_place":true,"shape":"batch","spread":false,"stow_s":4.0,)"
    R"("urgency":"high","vcpus":8.0}})";
const char* const kJobMsgpackHex =
    "82a26174cf000001a0c4506c7ba473706563de0014a66275696c647391a26738a463726577a6766973696f6ea56475655f73ca44"
    "610000"
    "a765626274696465c3a86578706563745f73ca43700000a467707573ca3f800000a468756c6ca6696d672d3037a26964aa6a6f62"
    "2d3030"
    "30343132a8696d6167655f6762cb4018cccccccccccda46c616e65a5747261696ea66d61726b5f73ca41f00000a6706965636573"
    "10a670"
    "6f6c646572c0a672616d5f6762ca42800000aa73616d655f706c616365c3a57368617065a56261746368a6737072656164c2a673"
    "746f77"
    "5f73ca40800000a7757267656e6379a468696768a57663707573ca41000000";
const char* const kSegmentJson =
    R"({"job-000412":{"d":"0-1","f":"2/3","p":{"n-000231":"3-4/2","n-000232":"5"}}})";
const char* const kCancellationJson =
    R"({"apply":[{"value":{"done":3,"stage":"cancelled"},"write":"over/job-000412"},)"
    R"({"value":{"at":1790000000123,"cancelled":1790000001000,"spec":{"builds":["g8"],"crew":"vision",)"
    R"("due_s":900.0,"ebbtide":true,"expect_s":240.0,"gpus":1.0,"hull":"img-07","id":"job-000412",)"
    R"("image_gb":6.2,"lane":"train","mark_s":30.0,"pieces":16,"polder":null,"ram_gb":64.0,"same_place":true,)"
    R"("shape":"batch","spread":false,"stow_s":4.0,"urgency":"high","vcpus":8.0}},"write":"linger/job-000412"},)"
    R"({"remove":"open/job-000412"}],"guards":[{"k":"open/job-000412","stamp":5}]})";

std::string to_hex(const std::string& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : bytes) {
    out += kDigits[c >> 4];
    out += kDigits[c & 15];
  }
  return out;
}

std::string from_hex(const std::string& hex_digits) {
  std::string out;
  for (std::size_t i = 0; i < hex_digits.size(); i += 2)
    out += static_cast<char>(std::stoi(hex_digits.substr(i, 2), nullptr, 16));
  return out;
}

core::JobRecord parse_previous_job() {
  return core::parse_job_record(Json::parse(kJobJson));
}

}  // namespace

TEST(StoredFormats, JobRecordIsUnchanged) {
  const auto record = parse_previous_job();
  EXPECT_EQ(record.spec.kind, wire::JobKind::array);
  EXPECT_EQ(record.spec.priority, wire::Priority::high);
  EXPECT_EQ(record.spec.task_count, 16u);
  EXPECT_EQ(record.submitted_ms, 1790000000123);
  EXPECT_EQ(core::to_json(record).dump(), kJobJson);
  EXPECT_EQ(to_hex(wire::encode(core::to_json(record))), kJobMsgpackHex);
}

TEST(StoredFormats, TerminalRecordIsUnchanged) {
  const std::string text = R"({"done":16,"stage":"done"})";
  const auto record = core::parse_terminal_record(Json::parse(text));
  EXPECT_EQ(record.state, wire::JobState::done);
  EXPECT_EQ(record.done, 16u);
  EXPECT_EQ(core::to_json(record).dump(), text);
}

TEST(StoredFormats, SegmentAndKeyAreUnchanged) {
  const JobId id("job-000412");
  const core::SegmentRecord segment = core::parse_segment(Json::parse(kSegmentJson));
  const std::vector<core::TaskRecord> expected = {{0, 1, {}, true},
                                                  {1, 1, {}, true},
                                                  {2, 3, {}, false},
                                                  {3, 2, MachineId("n-000231"), false},
                                                  {4, 2, MachineId("n-000231"), false},
                                                  {5, 1, MachineId("n-000232"), false}};
  ASSERT_TRUE(segment.contains(id));
  EXPECT_EQ(segment.at(id), expected);
  EXPECT_EQ(core::to_json(segment).dump(), kSegmentJson);
  EXPECT_EQ(core::key::segment(FencingToken(41), 7), "page/00000000000000000041-00000000000000000007");
}

TEST(StoredFormats, KeysAreUnchanged) {
  const JobId id("job-000412");
  EXPECT_EQ(core::key::active_job(id), "open/job-000412");
  EXPECT_EQ(core::key::terminal_job(id), "over/job-000412");
  EXPECT_EQ(core::key::terminating_job(id), "linger/job-000412");
  EXPECT_EQ(core::key::kScaleOutPrefix, "rent/");
  EXPECT_EQ(core::key::kScaleInPrefix, "return/");
  EXPECT_EQ(core::key::kMachineTypes, "types");
}

TEST(StoredFormats, CancellationTransactionIsUnchanged) {
  const auto transaction =
      core::cancellation_transaction(parse_previous_job(), Revision(5), 3, 1790000001000, 4096);
  EXPECT_EQ(wire::to_json(transaction).dump(), kCancellationJson);
  const auto copy = core::parse_job_record(Json::parse(kCancellationJson)["apply"][1]["value"]);
  EXPECT_EQ(copy.cancelled_ms, 1790000001000);
}

TEST(StoredFormats, ScaleOutAndScaleInRecordsAreUnchanged) {
  const std::string scale_out = R"({"build":"g8","charter":"r-41-1","count":12,"ebbtide":true,"polder":"a"})";
  EXPECT_EQ(wire::to_json(wire::parse_scale_out_request(Json::parse(scale_out))).dump(), scale_out);
  const std::string machines = R"({"dykes":["n-000231","n-000232"]})";
  EXPECT_EQ(wire::machine_ids_to_json(wire::parse_machine_ids(Json::parse(machines))).dump(), machines);
}

TEST(StoredFormats, MachineTypesAreUnchanged) {
  const std::string types =
      R"({"builds":[{"gpus":8.0,"local_gb":200.0,"market_price":4.5,"name":"g8","polders":["a","b"],"price":12.0,)"
      R"("pull_gb_per_s":1.0,"ram_gb":768.0,"ready_s":45.0,"vcpus":96.0}]})";
  EXPECT_EQ(wire::to_json(wire::parse_machine_types(Json::parse(types))).dump(), types);
}

TEST(PeerFormats, AllMessagesAreUnchanged) {
  const std::string encoded_request = "01010a000000000000006a6f622d30303034313202000000000000007879";
  const auto request = peer::decode_forwarded_request(from_hex(encoded_request));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->kind, peer::RequestKind::cancel);
  EXPECT_EQ(request->job, "job-000412");
  EXPECT_EQ(to_hex(peer::encode(*request)), encoded_request);

  const std::string encoded_response = "0101f701000001000000010000000000000062";
  const auto response = peer::decode_forwarded_response(from_hex(encoded_response));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(to_hex(peer::encode(*response)), encoded_response);

  const std::string encoded_jobs = "01020000000000000005000000000000006a6f622d3106000000000000006a6f622d3232";
  const auto job_names = peer::decode_job_ids(from_hex(encoded_jobs));
  ASSERT_TRUE(job_names);
  EXPECT_EQ(*job_names, (std::vector<std::string>{"job-1", "job-22"}));
  EXPECT_EQ(to_hex(peer::encode(*job_names)), encoded_jobs);

  const std::string encoded_statuses =
      "010200000000000000c80000000100000003000000000000000d00000000000000940100000000000000000000000000000000"
      "00000000"
      "0000";
  const auto statuses = peer::decode_job_statuses(from_hex(encoded_statuses));
  ASSERT_TRUE(statuses);
  EXPECT_EQ(statuses->at(0).job.running_tasks, 13u);
  EXPECT_EQ(statuses->at(1).status, 404);
  EXPECT_EQ(to_hex(peer::encode(*statuses)), encoded_statuses);

  const std::string encoded_status = "01012900000000000000010900000000000000";
  const auto status = peer::decode_peer_status(from_hex(encoded_status));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->token, 41u);
  EXPECT_EQ(to_hex(peer::encode(*status)), encoded_status);
}

// The previous version reads records by their key prefixes and deletes segments without a known job. The
// prefix of gang records must differ from all of these.
TEST(GangRecords, KeyPrefixIsUnknownToPreviousVersion) {
  const std::string key = core::key::gang_part(JobId("job-1"), 3, 0);
  for (const auto& prefix :
       {core::key::kActivePrefix, core::key::kTerminalPrefix, core::key::kTerminatingPrefix,
        core::key::kSegmentPrefix, core::key::kScaleOutPrefix, core::key::kScaleInPrefix})
    EXPECT_FALSE(key.starts_with(prefix)) << prefix;
  EXPECT_EQ(key, "gang/job-1/3/0");
}

TEST(GangRecords, RoundTripInManyParts) {
  std::vector<core::TaskRecord> tasks;
  for (TaskIndex i = 0; i < 900; ++i)
    tasks.push_back({i, 7, MachineId("n-" + std::to_string(100000 + i / 3)), false});
  const auto parts = core::split_gang(JobId("job-1"), 7, tasks, 700);
  ASSERT_GT(parts.size(), 5u);
  std::vector<core::TaskRecord> parsed_tasks;
  for (const auto& part : parts) {
    const auto value = core::to_json(part);
    EXPECT_LE(value.dump().size(), 700u);
    const auto parsed =
        core::parse_gang_part(core::key::gang_part(part.job, part.attempt, part.part_index), value);
    EXPECT_EQ(parsed.job, JobId("job-1"));
    EXPECT_EQ(parsed.attempt, 7u);
    EXPECT_EQ(parsed.part_count, parts.size());
    parsed_tasks.insert(parsed_tasks.end(), parsed.tasks.begin(), parsed.tasks.end());
  }
  std::sort(parsed_tasks.begin(), parsed_tasks.end(),
            [](const auto& a, const auto& b) { return a.index < b.index; });
  EXPECT_EQ(parsed_tasks, tasks);
}

TEST(GangRecords, InvalidKeyOrValueIsRejected) {
  const Json value{{"parts", 1}, {"p", {{"n-1", "0-3"}}}};
  EXPECT_NO_THROW(core::parse_gang_part("gang/job-1/3/0", value));
  for (const char* key :
       {"page/job-1/3/0", "gang/job-1/3", "gang/job-1/x/0", "gang/job-1/3/0x", "gang/job-1/3/1"})
    EXPECT_THROW(core::parse_gang_part(key, value), wire::ParseError) << key;
  EXPECT_THROW(core::parse_gang_part("gang/job-1/3/0", Json{{"parts", 1}}), wire::ParseError);
}

}  // namespace dockdyke::testing
