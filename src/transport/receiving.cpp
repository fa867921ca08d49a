/// @file Handling of received frames.
#include "transport_state.h"

namespace hyssoppond {

// Malformed bytes close the connection, because the position of the next frame is in doubt.
io_outcome transport::state::receive(std::string_view bytes, std::size_t limit, connection *from)
{
    auto decoded = decodeFrame(bytes, limit);
    if (!decoded) {
        drop(decoded.error().why);
        return io_outcome::Malformed;
    }
    switch (decoded->kind) {
    case frame_kind::Data:
        deliver(std::move(*decoded));
        break;
    case frame_kind::Probe:
        // One answer waiting is enough; further ones would fill memory if the peer does not read.
        if (from != nullptr && !from->hasUnsent())
            addProbe(*from, frame_kind::ProbeAnswer);
        break;
    case frame_kind::ProbeAnswer:
        break;
    }
    return io_outcome::Ok;
}

void transport::state::deliver(frame what)
{
    if (!what.addressee.isEmpty() && what.addressee != settings.self)
        return drop(reason::UnknownEndpoint);
    if (what.addresseeIncarnation != 0 && what.addresseeIncarnation != settings.incarnation)
        return drop(reason::StaleIncarnation);
    const auto &hook = hooks.onFrame[static_cast<std::size_t>(what.via)];
    if (!hook)
        return drop(reason::UnknownEndpoint);
    if (!pool->post([&hook, received = std::move(what)] { hook(received); }))
        drop(reason::Overloaded);
}

} // namespace hyssoppond
