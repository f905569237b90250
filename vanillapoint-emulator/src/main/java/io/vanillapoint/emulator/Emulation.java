package io.vanillapoint.emulator;

import io.vanillapoint.api.model.RegionId;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import io.vanillapoint.emulator.engine.EngineModel;
import io.vanillapoint.emulator.report.RunResult;
import io.vanillapoint.emulator.scenario.RegionParameters;
import io.vanillapoint.emulator.scenario.RequestKind;
import io.vanillapoint.emulator.scenario.Scenario;
import io.vanillapoint.emulator.scenario.Trouble;
import java.util.List;
import java.util.Random;

/**
 * One run of a scenario: random arrivals of callers, the fleet and the result. The same scenario,
 * policy and seed give the same result. Confined to one thread.
 */
public final class Emulation {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time after the last arrival in which outstanding answers may still complete. */
    private static final double DRAIN_MILLIS = 15_000;

    /** Time for the VMs to discover each other before the first arrival. */
    private static final double WARM_UP_MILLIS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final Scenario scenario;
    private final PlacementPolicy policy;
    private final Random random;
    private final FleetModel fleet;
    private final RunResult result = new RunResult();
    private long nextRequestNumber;

    /**
     * Prepares a run.
     *
     * @param scenario scenario to simulate
     * @param policy placement policy
     * @param seed seed of all random numbers
     */
    public Emulation(Scenario scenario, PlacementPolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(seed);
        this.fleet = new FleetModel(time, scenario, new Random(seed + 1));
    }

    /**
     * Runs the scenario to its end.
     *
     * @return result of the run
     */
    public RunResult run() {
        for (RegionParameters region : scenario.regions()) {
            time.schedule(WARM_UP_MILLIS, () -> arrive(region));
        }
        time.runUntil(WARM_UP_MILLIS + scenario.seconds() * MILLIS_PER_SECOND + DRAIN_MILLIS);
        for (EngineModel engine : fleet.engines()) {
            result.addPrefill(engine.prefilledTokens(), engine.prefilledSharedTokens());
        }
        return result;
    }

    private void arrive(RegionParameters region) {
        double second = (time.millis() - WARM_UP_MILLIS) / MILLIS_PER_SECOND;
        if (second >= scenario.seconds()) {
            return;
        }
        double rate = region.rate(second / scenario.seconds());
        for (Trouble trouble : scenario.troubles()) {
            boolean affectsRegion = trouble.region().equals(region.name());
            if (trouble.kind() == Trouble.Kind.BURST && affectsRegion && trouble.active(second)) {
                rate *= trouble.factor();
            }
        }
        RequestKind kind = pickKind();
        CallerModel caller =
                new CallerModel(
                        time,
                        fleet,
                        policy,
                        kind,
                        prompt(kind),
                        answerTokens(kind),
                        result.totalsFor(kind.name(), region.name()),
                        bytes -> result.addCrossRegionBytes(bytes));
        List<VmModel> vms = fleet.vms(new RegionId(region.name()));
        caller.start(vms.get(random.nextInt(vms.size())));
        double gapSeconds = -Math.log(1 - random.nextDouble()) / Math.max(0.01, rate);
        time.schedule(gapSeconds * MILLIS_PER_SECOND, () -> arrive(region));
    }

    private RequestKind pickKind() {
        double totalShare = scenario.kinds().stream().mapToDouble(RequestKind::share).sum();
        double remainingShare = random.nextDouble() * totalShare;
        for (RequestKind kind : scenario.kinds()) {
            remainingShare -= kind.share();
            if (remainingShare < 0) {
                return kind;
            }
        }
        return scenario.kinds().get(0);
    }

    private PromptSummary prompt(RequestKind kind) {
        int session = random.nextInt(kind.sessions());
        Random sessionRandom = new Random(kind.name().hashCode() * 31L + session);
        long sessionTokens =
                Math.max(
                        1,
                        (long) (kind.sessionTokens() * (0.4 + 1.2 * sessionRandom.nextDouble())));
        long ownTokens = Math.max(1, (long) (kind.ownTokens() * promptLengthFactor()));
        List<PromptPart> parts =
                List.of(
                        new PromptPart(kind.name() + "-common", kind.commonTokens()),
                        new PromptPart(kind.name() + "-s" + session, sessionTokens),
                        new PromptPart("r" + nextRequestNumber++, ownTokens));
        return new PromptSummary(
                "m", parts, kind.commonTokens() + sessionTokens + ownTokens, answerTokens(kind));
    }

    private long answerTokens(RequestKind kind) {
        double events = kind.events() * (0.3 + 1.4 * random.nextDouble());
        return Math.max(1, (long) (events * scenario.engine().tokensPerEvent()));
    }

    /** Log-normal factor with a mean of 1, the usual distribution of prompt lengths. */
    private double promptLengthFactor() {
        double sigma = 0.7;
        return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
