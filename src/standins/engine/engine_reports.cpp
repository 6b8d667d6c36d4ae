// State, load and counters that the fake engine reports, and its control switches.
#include "engine.h"

#include <boost/json/array.hpp>

namespace peridotgrade::standins {

namespace json = boost::json;

json::object Engine::state() const
{
    const EngineSettings& shown = this->currentSettings;
    json::object result;
    result["incarnation"] = this->currentIncarnation;
    result["role"] = shown.role;
    this->loadedModels.describe(result);
    result["places_total"] = shown.places;
    result["kv_tokens_total"] = shown.kvTokens;
    result["kv_tokens_per_piece"] = shown.kvTokensPerPiece;
    result["prefill_tokens_per_second"] = shown.prefillTokensPerSecond;
    return result;
}

json::object Engine::laggingLoad() const
{
    json::object result;
    result["places_total"] = this->currentSettings.places;
    if (this->loadSamples.empty())
        return result;
    const LoadSample& sample = this->loadSamples.front();
    result["places_free"] = sample.placesFree;
    result["prefill_backlog_ms"] = millis(sample.backlog);
    result["as_of_ms_ago"] = millis(StandinClock::now() - sample.at);
    return result;
}

json::object Engine::streams() const
{
    json::array list;
    for (const auto& [stream, reservation] : this->memory.reservations()) {
        json::object item;
        item["stream"] = stream;
        item["kind"] = nameOf(reservation.kind);
        item["pieces"] = reservation.pieces;
        list.push_back(std::move(item));
    }
    json::object result;
    result["streams"] = std::move(list);
    return result;
}

json::object Engine::counts() const
{
    json::object result = this->streams();
    result["pieces_held"] = this->memory.held();
    result["prefills_done"] = this->prefillsDone;
    result["prompt_tokens_computed"] = this->tokensComputed;
    result["decodes_done"] = this->decodesDone;
    result["results_evicted"] = this->resultsEvicted;
    result["cancels"] = this->cancels;
    result["incarnation"] = this->currentIncarnation;
    return result;
}

void Engine::addSwitches(ControlPort& control)
{
    EngineSettings& target = this->currentSettings;
    control.addVariable("step_us", target.stepUs);
    control.addVariable("step_per_stream_us", target.stepPerStreamUs);
    control.addVariable("prefill_tokens_per_second", target.prefillTokensPerSecond);
    control.addVariable("prefill_base_us", target.prefillBaseUs);
    control.addVariable("kept_for_ms", target.keptForMs);
    control.addVariable("link_bytes_per_second", target.linkBytesPerSecond);
    control.addVariable("load_lag_ms", target.loadLagMs);
    control.addVariable("cache_event_delay_ms", target.cacheEventDelayMs);
    control.addVariable("cache_event_loss", target.cacheEventLoss);
    control.addVariable("stall_transfers", target.isStalled);
    control.addVariable("fail_cancels", target.failCancels);
    control.addVariable("lose_cancel_answers", target.loseCancelAnswers);
    control.addVariable("fail_loads", target.failLoads);
    control.addVariable("checks_fence", target.checksFence);
    control.addSwitch("restart", [this](const json::value&) { this->restart(); });
}

} // namespace peridotgrade::standins
