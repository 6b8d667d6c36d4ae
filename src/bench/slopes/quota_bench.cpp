// Plays requests of many tenants at an entry that holds all accounts.
#include "quota_bench.h"

#include "measure.h"

#include "peridotgrade/core/admission/quota_account.h"
#include "peridotgrade/core/admission/quota_balance.h"

#include <cstdio>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotgrade::bench {

namespace {

    const std::string Member = "entry-1/123@10.0.0.1:9100";
    constexpr std::uint32_t Decisions = 1'000'000;
    constexpr TenantQuota Quota { QuotaUnit::Tokens, 1e9, 1e9, 200 };

    struct BenchTenant {
        explicit BenchTenant(const TenantId& name)
            : account(Quota, TimePoint {})
            , balance(name, Member, Quota, TimePoint {},
                  { [this](const auto&, const auto& request) {
                       ++this->questions;
                       this->balance.accept(
                           Member, *this->account.answer(request, this->group, this->now), this->now);
                   },
                      [](auto, const auto&) {} })
        {
            this->balance.setHolder(Member, TimePoint {});
        }
        TimePoint now {};
        QuotaGroup group { { Member } };
        std::uint64_t questions = 0;
        QuotaAccount account;
        QuotaBalance balance;
    };

    void measureDecisions(std::uint32_t count)
    {
        std::vector<TenantId> names;
        std::unordered_map<TenantId, std::unique_ptr<BenchTenant>> tenants;
        for (std::uint32_t index = 0; index < count; ++index) {
            names.emplace_back("tenant-" + std::to_string(index));
            tenants[names.back()] = std::make_unique<BenchTenant>(names.back());
        }
        double seconds = cpuSecondsOf([&] {
            for (std::uint32_t each = 0; each < Decisions; ++each) {
                BenchTenant& tenant = *tenants.at(names[each * 7919ull % count]);
                tenant.now += std::chrono::milliseconds { 1 };
                tenant.balance.admit(5000, {}, tenant.now);
            }
        });
        std::uint64_t questions = 0;
        for (const auto& [name, tenant] : tenants)
            questions += tenant->questions;
        std::printf("%-34s %u tenants %.0f ns, %.3f questions each\n", "quota decision", count,
            seconds / Decisions * 1e9, static_cast<double>(questions) / Decisions);
    }

} // namespace

void measureQuotas()
{
    measureDecisions(16);
    measureDecisions(1'000);
}

} // namespace peridotgrade::bench
