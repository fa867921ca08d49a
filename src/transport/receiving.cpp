/// @file Handling of received frames.
#include "transport_state.h"

namespace hyssoppond {

// Malformed bytes close the connection, because the position of the next frame is unknown.
io_outcome transport::state::receive(std::string_view bytes, std::size_t limit, connection *from)
{
    auto decoded = decodeFrame(bytes, limit);
    if (!decoded) {
        countDropped(decoded.error().why);
        return io_outcome::Malformed;
    }
    switch (decoded->kind) {
    case frame_kind::Data:
        deliver(std::move(*decoded), from);
        break;
    case frame_kind::Probe:
        // An answer is added only if nothing is unsent. Otherwise, answers to a peer that does not
        // read would fill the memory.
        if (from != nullptr && !from->hasUnsent())
            addProbe(*from, frame_kind::ProbeAnswer);
        break;
    case frame_kind::ProbeAnswer:
        break;
    }
    return io_outcome::Ok;
}

void transport::state::deliver(frame message, const connection *from)
{
    if (!message.addressee.isEmpty() && message.addressee != settings.self)
        return countDropped(reason::UnknownEndpoint);
    if (message.addresseeIncarnation != 0 && message.addresseeIncarnation != settings.incarnation)
        return countDropped(reason::StaleIncarnation);
    const auto &hook = hooks.onFrame[static_cast<std::size_t>(message.protocol)];
    if (!hook)
        return countDropped(reason::UnknownEndpoint);
    // Charged until the hook has run, as frames may arrive faster than their hooks run.
    auto charge = std::make_shared<client_charge>(settings.budget, client_listener::Peers, "");
    if (!chargeReceived(charge.get(), message.payload.size(), from)
        || !pool->post([&hook, charge, received = std::move(message)] { hook(received); }))
        countDropped(reason::Overloaded);
}

} // namespace hyssoppond
