/// @file Bytes and processor time that a frame adds to each message between processes.
#include "slope_base.h"
#include "traffic_base.h"

#include "hyssoppond/transport/frame_type.h"

#include <stdexcept>

namespace hyssoppond::capacity {
namespace {

void measure(std::size_t /*maxSize*/, const std::function<void(const point &)> &report)
{
    for (const std::size_t payload : {0, 100, 1000}) {
        frame measured;
        measured.sender = process_id("agent-20999");
        measured.senderIncarnation = 1;
        measured.senderAddress = {"10.0.81.255", 7400};
        measured.addressee = process_id("agent-10499");
        measured.addresseeIncarnation = 1;
        measured.payload = std::string(payload, 'p');
        const std::string encoded = encode(measured);
        report({"bytes_of_frame_around_payload", payload,
                static_cast<double>(encoded.size() - payload)});
        constexpr int Rounds = 20'000;
        const double before = processorSeconds();
        for (int i = 0; i < Rounds; ++i) {
            if (!decodeFrame(encode(measured), MaxDatagramBytes))
                throw std::runtime_error("a frame of the capacity program cannot be decoded");
        }
        report({"microseconds_to_encode_and_decode_frame", payload,
                (processorSeconds() - before) * 1e6 / Rounds, true});
    }
}

const part_registration Registration({"transport", measure});

} // namespace
} // namespace hyssoppond::capacity
