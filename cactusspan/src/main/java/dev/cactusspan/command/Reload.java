package dev.cactusspan.command;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.GatewaySettings;
import java.lang.reflect.Proxy;
import java.util.function.Supplier;

/**
 * Reads and validates the settings again on SIGHUP, and logs the result. Settings in use do not
 * change until the next start.
 */
final class Reload {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();

    private Reload() {}

    /** Installs the handler by reflection, as the compiler warns about direct use of the class. */
    static void onSignal(Supplier<Result<GatewaySettings>> reader) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reload =
                    Proxy.newProxyInstance(
                            Reload.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, args) -> {
                                reload(reader);
                                return null;
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, reload);
        } catch (ReflectiveOperationException e) {
            sLog.atSevere().withCause(e).log(
                    "cannot install the handler of SIGHUP; the signal would end this process");
        }
    }

    private static void reload(Supplier<Result<GatewaySettings>> reader) {
        Result<GatewaySettings> settings = reader.get();
        Decision.of("settings_read")
                .with("outcome", settings.fold(f -> f.toString(), s -> "ok"))
                .info();
    }
}
